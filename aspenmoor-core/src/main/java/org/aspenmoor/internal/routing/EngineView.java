package org.aspenmoor.internal.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * The state of one engine as known to a router: the last report, extrapolated to the present with the changes made by
 * this router and the estimated requests of other entries since then.
 *
 * <p>Reports arrive late. Without the local changes, a router would send requests to one engine until the next report
 * includes them. Without the requests of other entries, each entry would assume that the queue of the engine holds
 * only its own requests. Either error makes the time to first token oscillate with the report interval. The rate of
 * the other entries is estimated from the difference between each report and the load predicted from the previous
 * report and the local changes.
 */
final class EngineView {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int MAX_LOCAL_CHANGES = 512;
    private static final double SMOOTHING_WEIGHT = 0.3;
    private static final double MAX_EXTRAPOLATION_SECONDS = 2;

    private final String name;
    private final String dataCentre;
    private final EngineSpeed speed;
    private final Deque<LocalLoadChange> localChanges = new ArrayDeque<>();
    private EngineRole role = EngineRole.WHOLE;
    private boolean ready;
    private Set<String> loaded = Set.of();
    private EngineLoad load = new EngineLoad(-1, 0, 0, 1, 0, 0);
    private long reportMeasuredAt;
    private double backlogTokens;
    private long backlogAt;
    private int sequences;
    private double peerTokensPerSecond;
    private double peerSequencesPerSecond;

    EngineView(String name, String dataCentre, EngineSpeed speed) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.speed = speed;
    }

    /**
     * Applies a report that was measured at {@code measuredAt}, in nanoseconds.
     *
     * @return {@code false} if the report is older than the last one and was ignored
     */
    boolean applyReport(
            EngineLoad newLoad, EngineRole newRole, boolean newReady, Set<String> newLoaded, long measuredAt) {
        if (newLoad.sequence() < load.sequence() && measuredAt <= reportMeasuredAt) {
            return false;
        }
        if (newRole == role && ready && newReady) {
            updatePeerRates(newLoad, measuredAt);
        } else {
            peerTokensPerSecond = 0;
            peerSequencesPerSecond = 0;
        }
        load = newLoad;
        role = newRole;
        ready = newReady;
        loaded = newLoaded;
        reportMeasuredAt = measuredAt;
        replayLocalChanges();
        return true;
    }

    void addLocalChange(LocalLoadChange change) {
        if (localChanges.size() >= MAX_LOCAL_CHANGES) {
            localChanges.removeFirst();
        }
        localChanges.addLast(change);
        apply(change);
    }

    /** Returns the estimated prompt tokens that wait for prefill at {@code now}. */
    double backlogTokens(long now) {
        double elapsed = Math.max(0, now - backlogAt) / NANOSECONDS_PER_SECOND;
        double drainedTokens = elapsed * prefillTokensPerSecond();
        double peerTokens = Math.min(elapsed, MAX_EXTRAPOLATION_SECONDS) * peerTokensPerSecond;
        return Math.max(0, backlogTokens - drainedTokens + peerTokens);
    }

    /** Returns the estimated number of sequences in the batch at {@code now}. */
    double sequences(long now) {
        double elapsed = Math.min(MAX_EXTRAPOLATION_SECONDS, reportAgeSeconds(now));
        return Math.max(0, sequences + elapsed * peerSequencesPerSecond);
    }

    /** Returns the prefill rate of the engine with its present batch. */
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
        return Math.max(0, now - reportMeasuredAt) / NANOSECONDS_PER_SECOND;
    }

    private void updatePeerRates(EngineLoad newLoad, long measuredAt) {
        double seconds = (measuredAt - reportMeasuredAt) / NANOSECONDS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        double localTokens = 0;
        int localSequences = 0;
        for (LocalLoadChange change : localChanges) {
            if (change.atNanoseconds() <= measuredAt) {
                localTokens += change.prefillTokens();
                localSequences += change.sequences();
            }
        }
        double drainedTokens = seconds * prefillTokensPerSecond();
        double predictedTokens = Math.max(0, load.queuedPrefillTokens() + localTokens - drainedTokens);
        double tokensPerSecond = Math.max(0, newLoad.queuedPrefillTokens() - predictedTokens) / seconds;
        double sequencesPerSecond = (newLoad.runningSequences() - load.runningSequences() - localSequences) / seconds;
        peerTokensPerSecond += SMOOTHING_WEIGHT * (tokensPerSecond - peerTokensPerSecond);
        peerSequencesPerSecond += SMOOTHING_WEIGHT * (sequencesPerSecond - peerSequencesPerSecond);
    }

    private void replayLocalChanges() {
        while (!localChanges.isEmpty() && localChanges.peekFirst().atNanoseconds() <= reportMeasuredAt) {
            localChanges.removeFirst();
        }
        backlogTokens = load.queuedPrefillTokens();
        backlogAt = reportMeasuredAt;
        sequences = load.runningSequences();
        localChanges.forEach(this::apply);
    }

    private void apply(LocalLoadChange change) {
        backlogTokens = backlogTokens(change.atNanoseconds()) + change.prefillTokens();
        backlogAt = Math.max(backlogAt, change.atNanoseconds());
        sequences += change.sequences();
    }
}
