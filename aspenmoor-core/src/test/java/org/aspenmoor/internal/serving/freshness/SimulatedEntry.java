package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.ReportInterval;
import org.aspenmoor.internal.serving.TestReports;

/** One entry process, which follows both collections and reports to the others. */
final class SimulatedEntry {
    private final FreshnessSimulation simulation;
    private final String name;
    private final long startedAt;
    private final StoreFreshness freshness;
    private final List<SimulatedFollower> followers = new ArrayList<>();
    private boolean alive = true;
    private boolean cutOffFromStore;
    private long sequence;
    private int peerGroup;

    SimulatedEntry(FreshnessSimulation simulation, String name, boolean shared) {
        this.simulation = simulation;
        this.name = name;
        this.startedAt = simulation.now();
        this.freshness = new StoreFreshness(
                freshness(ObservedCollection.CONFIGURATION, shared, Duration.ZERO, FreshnessScenario.POLL_WAIT),
                freshness(
                        ObservedCollection.SERVERS,
                        shared,
                        FreshnessScenario.SERVER_PAUSE,
                        FreshnessScenario.SERVER_PAUSE));
        for (ObservedCollection collection : ObservedCollection.values()) {
            followers.add(new SimulatedFollower(simulation, this, collection, freshness.of(collection)));
        }
    }

    private CollectionFreshness freshness(
            ObservedCollection collection, boolean shared, Duration pause, Duration interval) {
        FreshnessBounds bounds = new FreshnessBounds(FreshnessScenario.BOUND, FreshnessScenario.CALL_TIMEOUT, interval);
        RegularPolling regular = new RegularPolling(FreshnessScenario.POLL_WAIT, pause);
        return new CollectionFreshness(name, collection, regular, shared ? Optional.of(bounds) : Optional.empty());
    }

    void start() {
        followers.forEach(SimulatedFollower::list);
        reportPeriodically();
    }

    void kill() {
        alive = false;
    }

    void cutOffFromStore(boolean cutOff) {
        cutOffFromStore = cutOff;
    }

    void movePeerGroup(int group) {
        peerGroup = group;
    }

    boolean hears(SimulatedEntry other) {
        return alive && other != this && other.peerGroup == peerGroup;
    }

    boolean alive() {
        return alive;
    }

    boolean reachesStore() {
        return alive && !cutOffFromStore && !simulation.store().down();
    }

    boolean observer(ObservedCollection collection) {
        return freshness.of(collection).status(simulation.now()).observers() < 3;
    }

    long staleness() {
        return followers.stream()
                .mapToLong(follower -> follower.staleness(simulation.now()))
                .max()
                .orElse(0);
    }

    String describe() {
        return name + " " + freshness.statuses(simulation.now());
    }

    void report() {
        PeerReport report = TestReports.of(
                name,
                startedAt,
                ++sequence,
                Map.of(),
                new PeerMeasurements(List.of(), List.of(), List.of(), freshness.observations(simulation.now())));
        simulation.send(this, report);
    }

    void receive(PeerReport report) {
        freshness.peerReported(report, simulation.now());
    }

    private void reportPeriodically() {
        if (!alive) {
            return;
        }
        report();
        simulation.after(ReportInterval.of(simulation.scenario().entries() - 1), this::reportPeriodically);
    }
}
