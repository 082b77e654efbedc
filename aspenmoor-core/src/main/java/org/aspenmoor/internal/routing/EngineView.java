package org.aspenmoor.internal.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * What a router believes about one engine: its last report, aged, plus the router's own sends since.
 *
 * <p>Reports arrive late. Without the own sends a router would pile requests on an engine until the next report shows
 * them; one would notice it as a first-token latency that oscillates with the report interval.
 */
final class EngineView {
    private static final double NANOSECONDS = 1e9;
    private static final int MOST_OWN_SENDS = 512;

    private final String name;
    private final String dataCentre;
    private final double prefillTokensPerSecond;
    private final Deque<OwnSend> ownSends = new ArrayDeque<>();
    private EngineRole role = EngineRole.WHOLE;
    private boolean ready;
    private Set<String> loaded = Set.of();
    private EngineLoad load = new EngineLoad(-1, 0, 0, 1, 0, 0);
    private long reportTakenAt;
    private double backlogTokens;
    private long backlogAt;
    private int sequences;

    EngineView(String name, String dataCentre, double prefillTokensPerSecond) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.prefillTokensPerSecond = prefillTokensPerSecond;
    }

    /** Takes a report; an older one than the last is dropped and answered with {@code false}. */
    boolean report(EngineLoad newLoad, EngineRole newRole, boolean newReady, Set<String> newLoaded, long takenAt) {
        if (newLoad.sequence() < load.sequence() && takenAt <= reportTakenAt) {
            return false;
        }
        load = newLoad;
        role = newRole;
        ready = newReady;
        loaded = newLoaded;
        reportTakenAt = takenAt;
        replayOwnSends();
        return true;
    }

    void record(OwnSend send) {
        if (ownSends.size() >= MOST_OWN_SENDS) {
            ownSends.removeFirst();
        }
        ownSends.addLast(send);
        apply(send);
    }

    double backlogTokens(long now) {
        return Math.max(0, backlogTokens - drained(now));
    }

    int sequences() {
        return Math.max(0, sequences);
    }

    String name() {
        return name;
    }

    String dataCentre() {
        return dataCentre;
    }

    EngineRole role() {
        return role;
    }

    boolean ready() {
        return ready;
    }

    Set<String> loaded() {
        return loaded;
    }

    EngineLoad load() {
        return load;
    }

    double reportAgeSeconds(long now) {
        return (now - reportTakenAt) / NANOSECONDS;
    }

    private void replayOwnSends() {
        while (!ownSends.isEmpty() && ownSends.peekFirst().atNanoseconds() <= reportTakenAt) {
            ownSends.removeFirst();
        }
        backlogTokens = load.queuedPrefillTokens();
        backlogAt = reportTakenAt;
        sequences = load.runningSequences();
        ownSends.forEach(this::apply);
    }

    private void apply(OwnSend send) {
        backlogTokens = backlogTokens(send.atNanoseconds()) + send.prefillTokens();
        backlogAt = Math.max(backlogAt, send.atNanoseconds());
        sequences += send.sequences();
    }

    private double drained(long now) {
        return Math.max(0, now - backlogAt) / NANOSECONDS * prefillTokensPerSecond;
    }
}
