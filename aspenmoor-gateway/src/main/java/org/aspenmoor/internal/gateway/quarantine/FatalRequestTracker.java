package org.aspenmoor.internal.gateway.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.QuarantineChange;
import org.aspenmoor.internal.serving.quarantine.QuarantineDecision;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.serving.quarantine.TrialTurns;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Tracks requests and parts of prompts that terminate servers, from this entry's own requests and from the reports of others. Confined
 * to the event loop.
 */
public final class FatalRequestTracker {
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

    private final TimeSource time;
    private final DecisionLog log;
    private final Quarantine quarantine;
    private ChangeListener changeListener = observedHere -> {};
    private long lastExpiryNanos;

    /**
     * Creates a tracker that knows no terminations.
     *
     * @param trialTurns when this entry may try a suspect after a quarantine period
     */
    public FatalRequestTracker(TimeSource time, DecisionLog log, TrialTurns trialTurns) {
        this.time = time;
        this.log = log;
        this.quarantine = new Quarantine(trialTurns, time.monotonicNanos());
        this.lastExpiryNanos = time.monotonicNanos();
    }

    /** Sets the listener for changes that have to be stored. */
    void setChangeListener(ChangeListener listener) {
        changeListener = listener;
    }

    /** Returns whether no request is known to have been on a server when it terminated. */
    public boolean isEmpty() {
        return quarantine.isEmpty();
    }

    /** Decides whether a request may be sent to a server with a suspect: itself, or a part of its prompt. */
    public QuarantineDecision decide(SuspectDigest suspect, String requestId) {
        return quarantine.decide(suspect, requestId, nowNanos());
    }

    /** Records that a request is sent to find out whether a suspect still terminates servers. */
    public void beginTrial(SuspectDigest suspect, String requestId) {
        quarantine.beginTrial(suspect, requestId, nowNanos());
        log.notable("quarantine-trial")
                .with("digest", suspect.hex())
                .with("request", requestId)
                .write();
    }

    /** Ends a trial that has shown nothing. */
    public void endTrial(SuspectDigest suspect, String requestId) {
        quarantine.endTrial(suspect, requestId);
    }

    /** Records that a server terminated while it processed a request of this entry. */
    public void serverTerminated(SuspectDigest request, ServerIncarnation incarnation) {
        if (quarantine.serverTerminated(request, incarnation, nowNanos())) {
            notifyChanged("own requests", true);
        }
    }

    /** Records that a server terminated while it began an answer of this entry that is based on a part. */
    public void serverTerminatedOnPart(SuspectDigest part, ServerIncarnation incarnation) {
        if (quarantine.serverTerminatedOnPart(part, incarnation, nowNanos())) {
            notifyChanged("own requests", true);
        }
    }

    /** Records that a request was answered, which clears its server terminations and those of its prompt's parts. */
    public void requestAnswered(SuspectDigest request, List<SuspectDigest> parts) {
        boolean changed = quarantine.requestAnswered(request, nowNanos());
        for (SuspectDigest part : parts) {
            changed |= quarantine.partAnswered(part, nowNanos());
        }
        if (changed) {
            notifyChanged("request was answered", false);
        }
    }

    /** Records terminations reported by another entry or read from the store. */
    public void terminationsReported(List<ServerTermination> terminations, String source) {
        boolean changed = false;
        for (ServerTermination termination : terminations) {
            changed |= quarantine.terminationReported(termination, nowNanos());
        }
        if (changed) {
            notifyChanged(source, false);
        }
    }

    /** Returns the terminations to include in the next report to the other entries. */
    public List<ServerTermination> takeNextReport() {
        return quarantine.takeNextReport(nowNanos());
    }

    /** Returns the terminations that have to be stored: those of requests with terminations on more than one server. */
    public Map<SuspectDigest, List<ServerTermination>> terminationsToStore() {
        Map<SuspectDigest, List<ServerTermination>> terminations = new LinkedHashMap<>();
        quarantine
                .suspectsWithMultipleTerminations()
                .forEach(request -> terminations.put(request, quarantine.terminations(request, nowNanos())));
        return terminations;
    }

    /** Returns the number of requests and parts in quarantine. */
    public int quarantinedCount() {
        return quarantine.quarantinedCount();
    }

    /** Ends expired quarantine periods and removes expired suspects; has to be called several times per second. */
    public void expire() {
        if (quarantine.isEmpty()) {
            return;
        }
        if (nowNanos() - lastExpiryNanos > EXPIRY_INTERVAL.toNanos()) {
            lastExpiryNanos = nowNanos();
            quarantine.expire(nowNanos());
        }
        logChanges("quarantine period expired");
    }

    private void notifyChanged(String source, boolean observedHere) {
        logChanges(source);
        changeListener.changed(observedHere);
    }

    private void logChanges(String source) {
        quarantine.collectChanges(nowNanos()).forEach(change -> logChange(change, source));
    }

    private void logChange(QuarantineChange change, String source) {
        if (change.decision().isEmpty()) {
            log.notable("request-released")
                    .with("digest", change.suspect().hex())
                    .with("reason", source)
                    .write();
            return;
        }
        QuarantineDecision.Quarantined decision = change.decision().get();
        List<String> serverIds = new ArrayList<>();
        quarantine
                .terminations(change.suspect(), nowNanos())
                .forEach(termination -> serverIds.add(termination.incarnation().serverId()));
        log.notable("request-quarantined")
                .with("digest", change.suspect().hex())
                .with("ends", decision.terminations())
                .with("servers", String.join(",", serverIds))
                .with("forSeconds", decision.remaining().toSeconds())
                .with("knownFrom", source)
                .write();
    }

    private long nowNanos() {
        return time.monotonicNanos();
    }

    /**
     * Called after changes that have to be stored; the argument states whether this entry observed a termination
     * itself.
     */
    @FunctionalInterface
    interface ChangeListener {
        void changed(boolean observedHere);
    }
}
