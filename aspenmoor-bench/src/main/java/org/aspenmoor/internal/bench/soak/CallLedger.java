package org.aspenmoor.internal.bench.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;

/** Knows what really ran, and compares it with what callers are told. */
final class CallLedger {
    private final Violations violations;
    private final Map<ClaimKey, ClaimRequest> runs = new HashMap<>();
    private final Set<RequestId> toldNotRun = new HashSet<>();
    private long answered;
    private long repeated;
    private long notRun;
    private long unknown;
    private long lost;

    CallLedger(Violations violations) {
        this.violations = violations;
    }

    /** Notes that a plain service ran a call. */
    void ran(ClaimRequest claim) {
        ClaimRequest earlier = runs.putIfAbsent(claim.key(), claim);
        if (earlier != null) {
            violations.report("key " + claim.key().key() + " ran twice: " + earlier.id() + " and " + claim.id());
        }
        if (toldNotRun.contains(claim.id())) {
            violations.report("call " + claim.id() + " ran after its caller was told that it did not");
        }
    }

    void toldAnswered(ClaimRequest claim, String answerDigest) {
        answered++;
        checkAnswer(claim, answerDigest);
    }

    void toldRecorded(ClaimRequest claim, String answerDigest) {
        repeated++;
        checkAnswer(claim, answerDigest);
    }

    void toldNotRun(ClaimRequest claim) {
        notRun++;
        toldNotRun.add(claim.id());
        ClaimRequest run = runs.get(claim.key());
        if (run != null && run.id().equals(claim.id())) {
            violations.report("call " + claim.id() + " was called not run and has run");
        }
    }

    /** A repeat was told that nobody knows, or does not know yet. */
    void toldStillUnknown() {
        unknown++;
    }

    /** A dispatched call was not answered in time. */
    void toldLost() {
        lost++;
    }

    Totals totals() {
        return new Totals(runs.size(), answered, repeated, notRun, unknown, lost);
    }

    private void checkAnswer(ClaimRequest claim, String answerDigest) {
        Optional<ClaimRequest> run = Optional.ofNullable(runs.get(claim.key()));
        Optional<String> expected = run.map(ran -> "answer to " + ran.id());
        if (run.isPresent() && !run.get().bodyDigest().equals(claim.bodyDigest())) {
            violations.report("call " + claim.id() + " was given the answer to another body");
        }
        if (!expected.equals(Optional.of(answerDigest))) {
            violations.report("call " + claim.id() + " was given \"" + answerDigest + "\" instead of " + expected);
        }
    }

    /** Counts at one moment. */
    record Totals(long ran, long answered, long repeated, long notRun, long unknown, long lost) {}
}
