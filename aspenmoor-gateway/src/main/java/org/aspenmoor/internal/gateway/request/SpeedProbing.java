package org.aspenmoor.internal.gateway.request;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ServiceTraits;
import org.aspenmoor.internal.serving.speed.EntryTurns;
import org.aspenmoor.internal.serving.speed.ProbeSchedule;

/**
 * Selects the servers that may be asked for their load, and keeps the schedule by which this entry asks them. Confined to
 * the event loop.
 */
public final class SpeedProbing {
    private final ServingState state;
    private final EntryTurns turns;
    private final ProbeSchedule schedule;

    /**
     * Creates an instance that has asked no server.
     *
     * @param entry the name of this entry
     */
    public SpeedProbing(String entry, ServingState state) {
        this.state = state;
        this.turns = new EntryTurns(entry);
        this.schedule = new ProbeSchedule(state.placement().knownSpeeds(), turns);
    }

    /** Returns the calls to be sent now; the result of each has to be recorded. */
    public List<HealthProbe> takeProbes() {
        long now = state.time().monotonicNanos();
        turns.activeEntries(state.activeEntries(), state.entryCount(), now);
        return probes(schedule.take(usableServers(now), now));
    }

    /** Returns the calls to be sent shortly before this entry reports to the others. */
    public List<HealthProbe> takeProbesBeforeReport() {
        long now = state.time().monotonicNanos();
        return probes(schedule.takeBeforeReport(usableServers(now), now));
    }

    private List<BackendServer> usableServers(long now) {
        return state.servers().stream()
                .filter(server -> healthPath(server).isPresent())
                .filter(server -> state.placement().mayProbe(server.id(), now))
                .toList();
    }

    private List<HealthProbe> probes(List<BackendServer> servers) {
        return servers.stream()
                .map(server -> new HealthProbe(server, healthPath(server).orElseThrow()))
                .toList();
    }

    /** Records that a server has answered. */
    public void answered(BackendServer server) {
        schedule.answered(server, state.time().monotonicNanos());
    }

    /** Records that a call was not sent or not answered. */
    public void failed(BackendServer server) {
        schedule.failed(server, state.time().monotonicNanos());
    }

    private Optional<String> healthPath(BackendServer server) {
        return state.configuration()
                .flatMap(known -> known.service(server.service()))
                .flatMap(ServiceTraits::healthPath);
    }
}
