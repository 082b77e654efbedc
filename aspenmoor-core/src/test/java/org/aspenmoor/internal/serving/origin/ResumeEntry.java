package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.aspenmoor.internal.time.TimeSource;

/** An entry of the simulation; its tracker is new with each start. */
final class ResumeEntry implements OriginNetwork, TimeSource {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long SECOND = ResumeScenario.SECOND;
    private static final long CHECK_INTERVAL = 100 * MILLISECOND;
    private static final Duration LISTING_INTERVAL = Duration.ofSeconds(10);

    /** Time after which a call to the store that has failed is made again. */
    static final Duration STORE_RETRY = Duration.ofSeconds(2);

    /** Reports of an entry to the others a second, with many entries; with few, each check sends one. */
    private static final double REPORTS_PER_SECOND_AND_ENTRY = 300;

    /** An entry that has been killed, cut off or suspended is in touch again this long afterwards. */
    private static final long CONTACT = 3 * SECOND;

    private final ResumeSimulation simulation;
    private final String name;
    private StreamOriginTracker tracker;
    private Map<String, ResumeEngine> known = new LinkedHashMap<>();
    private boolean alive;
    private boolean suspended;
    private boolean cut;
    private boolean separated;
    private long listCurrentUntil;
    private long incarnation;
    private long outOfTouchUntil;
    private long nextReportAt;

    ResumeEntry(ResumeSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
    }

    void start() {
        alive = true;
        incarnation++;
        known = new LinkedHashMap<>();
        tracker = new StreamOriginTracker(this, this, simulation.listBound());
        tracker.configured(Duration.ZERO, Set.of(ResumeEngine.SERVICE));
        check(incarnation);
        listRegularly();
    }

    /** Ends the process; a new one starts after the given time. */
    void kill(long downtime) {
        alive = false;
        incarnation++;
        long killed = incarnation;
        outOfTouchUntil = now() + downtime + CONTACT;
        simulation.time().at(now() + downtime, () -> {
            if (!alive && incarnation == killed) {
                start();
            }
        });
    }

    void suspend(long duration) {
        suspended = true;
        simulation.time().at(now() + duration, () -> {
            suspended = false;
            outOfTouchUntil = now() + CONTACT;
        });
    }

    void cut(long duration) {
        cut = true;
        listCurrentUntil = now() + simulation.listBound().toNanos();
        simulation.time().at(now() + duration, () -> {
            cut = false;
            outOfTouchUntil = now() + CONTACT;
        });
    }

    /** Leaves this entry in touch only with the others that are separated too. */
    void separate(long duration) {
        separated = true;
        simulation.time().at(now() + duration, () -> {
            separated = false;
            outOfTouchUntil = now() + CONTACT;
        });
    }

    String name() {
        return name;
    }

    boolean reachesStore() {
        return !cut && !separated && !simulation.storeAway();
    }

    private boolean reaches(ResumeEntry other) {
        return !cut && !other.cut && separated == other.separated;
    }

    StreamOriginTracker tracker() {
        return tracker;
    }

    /** Returns the engines that this entry knows; some may have left since. */
    List<ResumeEngine> known() {
        return List.copyOf(known.values());
    }

    long incarnation() {
        return incarnation;
    }

    boolean alive() {
        return alive;
    }

    boolean suspended() {
        return suspended;
    }

    boolean takesCallers() {
        return alive && !suspended;
    }

    boolean inTouch() {
        return !cut && !separated && now() >= outOfTouchUntil;
    }

    private void check(long checkedIncarnation) {
        if (!alive || incarnation != checkedIncarnation) {
            return;
        }
        if (!suspended) {
            boolean current = reachesStore();
            if (current) {
                known.clear();
                simulation.engines().stream()
                        .filter(ResumeEngine::alive)
                        .forEach(engine -> known.put(engine.id(), engine));
            }
            tracker.serversObserved(
                    known.values().stream().map(ResumeEngine::registration).toList(),
                    current || (cut && now() < listCurrentUntil));
            reportIfDue();
        }
        simulation.time().at(now() + CHECK_INTERVAL, () -> check(checkedIncarnation));
    }

    private void listRegularly() {
        boolean reached = simulation.store().list(this);
        schedule(reached ? LISTING_INTERVAL : STORE_RETRY, this::listRegularly);
    }

    private void reportIfDue() {
        if (now() >= nextReportAt) {
            double interval = simulation.entries().size() / REPORTS_PER_SECOND_AND_ENTRY;
            nextReportAt = now() + (long) (interval * SECOND);
            announceVersions();
        }
    }

    @Override
    public List<String> activeEntries() {
        return others().stream()
                .filter(other -> other.alive && !other.suspended && reaches(other))
                .map(other -> other.name)
                .toList();
    }

    @Override
    public List<String> registeredEntries() {
        return others().stream().map(other -> other.name).toList();
    }

    private List<ResumeEntry> others() {
        return simulation.entries().stream().filter(other -> other != this).toList();
    }

    @Override
    public String ownEntry() {
        return name;
    }

    @Override
    public void writeStatement(Set<StreamOrigin> origins) {
        simulation.store().state(this, origins);
    }

    @Override
    public void record(List<KnownStream> streams) {
        simulation.store().record(this, streams);
    }

    @Override
    public void loadRecords() {
        simulation.store().loadRecords(this);
    }

    @Override
    public void listStatements() {
        simulation.store().list(this);
    }

    @Override
    public void tell(String entry, List<KnownStream> told, boolean record) {
        simulation.messageSent();
        send(entry, receiver -> receiver.tracker.told(told, record));
    }

    @Override
    public void ask(String entry, OriginQuestion question) {
        simulation.messageSent();
        long asking = incarnation;
        send(entry, receiver -> {
            OriginReply reply = receiver.tracker.answer(entry, question);
            receiver.send(name, asker -> {
                if (asker.incarnation == asking) {
                    asker.tracker.replied(reply);
                }
            });
        });
    }

    @Override
    public void announceVersions() {
        List<VersionSighting> sightings = tracker.versionsToReport();
        if (!sightings.isEmpty()) {
            others().forEach(other -> send(other.name, receiver -> receiver.tracker.versionsReported(sightings)));
        }
    }

    private void send(String receiverName, Consumer<ResumeEntry> action) {
        simulation.messageDelay().ifPresent(delay -> {
            ResumeEntry receiver = simulation.entry(receiverName);
            simulation.time().at(now() + delay, () -> {
                if (receiver.alive && !receiver.suspended && reaches(receiver)) {
                    action.accept(receiver);
                }
            });
        });
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        long scheduled = incarnation;
        simulation.time().at(now() + delay.toNanos(), () -> {
            if (alive && incarnation == scheduled) {
                action.run();
            }
        });
    }

    private long now() {
        return simulation.time().now();
    }

    @Override
    public long monotonicNanos() {
        return now();
    }

    @Override
    public Instant wallClockTime() {
        return Instant.EPOCH.plusNanos(now());
    }
}
