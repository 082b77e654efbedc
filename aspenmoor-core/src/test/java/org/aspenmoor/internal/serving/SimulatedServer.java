package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * A plain server that turns requests away, or announces that it is draining, as a scenario says, and checks what it gets
 * after that from each entry. It also turns requests away while its queue is full.
 */
final class SimulatedServer {
    private static final int SLOTS = 6;
    private static final int MAX_QUEUED = 12;
    private static final long WORK = 25 * StatementSimulation.MILLISECOND;

    /** An entry that was asked for a pause has this long until requests on their way no longer count. */
    private static final long PAUSE_SLACK = 500 * StatementSimulation.MILLISECOND;

    private static final long DRAIN_SLACK = 2 * StatementSimulation.SECOND;

    private final BackendServer registration;
    private final boolean sheds;
    private final boolean drains;
    private final Duration pause;
    private final PriorityQueue<Long> ends = new PriorityQueue<>();
    private final Map<Integer, List<Pause>> pauses = new HashMap<>();
    private final Map<Integer, Long> toldOfDrainAt = new HashMap<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final List<Long> turnedAwayAt = new ArrayList<>();
    private int mostWithinPause;
    private int afterDrain;

    SimulatedServer(int index, StatementScenario scenario) {
        this.registration = new BackendServer(
                "server-" + index,
                1,
                TestServers.PLAIN_SERVICE,
                TestServers.VERSION,
                "127.0.0.1",
                index,
                TestServers.DATA_CENTRE,
                SLOTS,
                BackendState.READY,
                EngineRole.WHOLE);
        this.sheds = scenario.shedding().contains(index);
        this.drains = scenario.draining().contains(index);
        this.pause = scenario.pause();
    }

    BackendServer registration() {
        return registration;
    }

    /** Returns the answer to a request of an entry, and when it is sent. */
    Answer requestArrived(int entry, long callerSentAt, long now) {
        arrivals.add(now);
        check(entry, callerSentAt, now);
        boolean stating = now >= StatementScenario.STATED_FROM && now < StatementScenario.STATED_UNTIL;
        while (!ends.isEmpty() && ends.peek() <= now) {
            ends.poll();
        }
        boolean full = ends.size() >= SLOTS + MAX_QUEUED;
        if (full || (sheds && stating)) {
            turnedAwayAt.add(now);
            pauses.computeIfAbsent(entry, first -> new ArrayList<>()).add(new Pause(now, now + pause.toNanos()));
            return new Answer(now, Optional.of(pause), drains && stating);
        }
        long freeAt =
                ends.size() < SLOTS ? now : ends.stream().sorted().toList().get(ends.size() - SLOTS);
        ends.add(freeAt + WORK);
        return new Answer(freeAt + WORK, Optional.empty(), drains && now >= StatementScenario.STATED_FROM);
    }

    /** Records that an entry has received the announcement that this server is draining. */
    void entryToldOfDrain(int entry, long now) {
        toldOfDrainAt.putIfAbsent(entry, now);
    }

    /** Excuses an entry that is restarted or suspended from what it was told before. */
    void forgetEntry(int entry) {
        pauses.remove(entry);
        toldOfDrainAt.remove(entry);
    }

    /** Returns the most requests that one entry sent within a pause that this server had asked it for. */
    int mostWithinPause() {
        return mostWithinPause;
    }

    /** Returns the requests, sent by callers after entries were told that this server is draining, that arrived. */
    int afterDrain() {
        return afterDrain;
    }

    /** Returns how many requests were turned away in a span. */
    int turnedAway(long from, long until) {
        return (int)
                turnedAwayAt.stream().filter(at -> at >= from && at < until).count();
    }

    /** Returns the requests that arrived in a span. */
    int arrivals(long from, long until) {
        return (int) arrivals.stream().filter(at -> at >= from && at < until).count();
    }

    /** Returns the most requests that arrived within a window, in a span. */
    int largestBurst(long from, long until, long window) {
        int largest = 0;
        for (long at : arrivals) {
            if (at >= from && at < until) {
                largest = Math.max(largest, arrivals(at, at + window));
            }
        }
        return largest;
    }

    private void check(int entry, long callerSentAt, long now) {
        for (Pause asked : pauses.getOrDefault(entry, List.of())) {
            if (now >= asked.from + PAUSE_SLACK && now < asked.until) {
                asked.arrivals++;
                mostWithinPause = Math.max(mostWithinPause, asked.arrivals);
            }
        }
        Long toldAt = toldOfDrainAt.get(entry);
        if (toldAt != null && callerSentAt > toldAt + DRAIN_SLACK) {
            afterDrain++;
        }
    }

    /**
     * An answer.
     *
     * @param at when it is sent
     * @param pause the pause asked for with it; empty if the request was run
     * @param draining whether it announces that the server is draining
     */
    record Answer(long at, Optional<Duration> pause, boolean draining) {}

    private static final class Pause {
        private final long from;
        private final long until;
        private int arrivals;

        Pause(long from, long until) {
            this.from = from;
            this.until = until;
        }
    }
}
