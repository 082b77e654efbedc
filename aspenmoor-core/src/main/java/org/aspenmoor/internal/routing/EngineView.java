package org.aspenmoor.internal.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * What a router believes about one engine: its last report, aged, plus the router's own sends since, plus what others
 * probably sent since.
 *
 * <p>Reports arrive late. Without the own sends a router would pile requests on an engine until the next report shows
 * them; without the others' sends every entry would believe that it alone fills the queue that drains. One would notice
 * either as a first-token latency that oscillates with the report interval. What others send is learnt from how far
 * each report differs from what the report before and the own sends had predicted.
 */
final class EngineView {
    private static final double NANOSECONDS = 1e9;
    private static final int MOST_OWN_SENDS = 512;
    private static final double LEARNING_SHARE = 0.3;
    private static final double LONGEST_EXTRAPOLATION_SECONDS = 2;

    private final String name;
    private final String dataCentre;
    private final EngineSpeed speed;
    private final Deque<OwnSend> ownSends = new ArrayDeque<>();
    private EngineRole role = EngineRole.WHOLE;
    private boolean ready;
    private Set<String> loaded = Set.of();
    private EngineLoad load = new EngineLoad(-1, 0, 0, 1, 0, 0);
    private long reportTakenAt;
    private double backlogTokens;
    private long backlogAt;
    private int sequences;
    private double othersTokensPerSecond;
    private double othersSequencesPerSecond;

    EngineView(String name, String dataCentre, EngineSpeed speed) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.speed = speed;
    }

    /** Takes a report; an older one than the last is dropped and answered with {@code false}. */
    boolean report(EngineLoad newLoad, EngineRole newRole, boolean newReady, Set<String> newLoaded, long takenAt) {
        if (newLoad.sequence() < load.sequence() && takenAt <= reportTakenAt) {
            return false;
        }
        if (newRole == role && ready && newReady) {
            learnOthers(newLoad, takenAt);
        } else {
            othersTokensPerSecond = 0;
            othersSequencesPerSecond = 0;
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
        double elapsed = Math.max(0, now - backlogAt) / NANOSECONDS;
        double drained = elapsed * prefillTokensPerSecond();
        double others = Math.min(elapsed, LONGEST_EXTRAPOLATION_SECONDS) * othersTokensPerSecond;
        return Math.max(0, backlogTokens - drained + others);
    }

    double sequences(long now) {
        double elapsed = Math.min(LONGEST_EXTRAPOLATION_SECONDS, reportAgeSeconds(now));
        return Math.max(0, sequences + elapsed * othersSequencesPerSecond);
    }

    /** Returns the prompt tokens the engine computes a second with the batch it has. */
    double prefillTokensPerSecond() {
        return role == EngineRole.PREFILL
                ? speed.prefillTokensPerSecond()
                : speed.mixedPrefillTokensPerSecond(sequences);
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
        return Math.max(0, now - reportTakenAt) / NANOSECONDS;
    }

    private void learnOthers(EngineLoad newLoad, long takenAt) {
        double seconds = (takenAt - reportTakenAt) / NANOSECONDS;
        if (seconds <= 0) {
            return;
        }
        double ownTokens = 0;
        int ownSequences = 0;
        for (OwnSend send : ownSends) {
            if (send.atNanoseconds() <= takenAt) {
                ownTokens += send.prefillTokens();
                ownSequences += send.sequences();
            }
        }
        double drained = seconds * prefillTokensPerSecond();
        double predicted = Math.max(0, load.queuedPrefillTokens() + ownTokens - drained);
        double tokens = Math.max(0, newLoad.queuedPrefillTokens() - predicted) / seconds;
        double started = (newLoad.runningSequences() - load.runningSequences() - ownSequences) / seconds;
        othersTokensPerSecond += LEARNING_SHARE * (tokens - othersTokensPerSecond);
        othersSequencesPerSecond += LEARNING_SHARE * (started - othersSequencesPerSecond);
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
}
