package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimCommitter;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.claim.RecordedAnswer;

/** The calls of one entry that may run once: claimed, dispatched, recorded, in steps between which it may be killed. */
final class EntryBookings {
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(15);

    private final SoakWorld world;
    private final EntryProcess entry;
    private final ClaimCommitter committer;
    private final Deque<ClaimDecision.Granted> granted = new ArrayDeque<>();
    private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

    EntryBookings(SoakWorld world, EntryProcess entry, ClaimCommitter committer) {
        this.world = world;
        this.entry = entry;
        this.committer = committer;
    }

    /** Takes a call from a caller. */
    void request(ClaimRequest request) {
        if (!committer.submit(request)) {
            world.ledger().toldNotRun(request);
        }
    }

    /** Claims what waits for one object. */
    void commit() {
        if (!committer.hasDueWork()) {
            return;
        }
        for (ClaimDecision verdict : committer.commitBatch()) {
            switch (verdict) {
                case ClaimDecision.Granted grant -> granted.add(grant);
                case ClaimDecision.AlreadyAnswered repeat ->
                    world.ledger()
                            .toldRecorded(repeat.request(), repeat.answer().bodyDigest());
                case ClaimDecision.OutcomeUnknown unknown -> world.ledger().toldStillUnknown();
                case ClaimDecision.KeyReused reused -> world.ledger().toldNotRun(reused.request());
                case ClaimDecision.NotClaimed refused -> world.ledger().toldNotRun(refused.request());
            }
        }
    }

    /** Dispatches one granted call. */
    void dispatch() {
        if (granted.isEmpty()) {
            return;
        }
        ClaimDecision.Granted grant = granted.remove();
        Optional<SoakService> service = entry.members().anyServing();
        if (service.isEmpty()) {
            committer.recordNeverStarted(grant.ticket());
            world.ledger().toldNotRun(grant.request());
            return;
        }
        BookingCall call = new BookingCall(grant.request(), world.now());
        waiting.put(grant.request().id(), new Waiting(grant.ticket(), world.now()));
        if (!world.takeCallLoss()) {
            ServiceAgent agent = service.get().current();
            world.schedule(world.latency(), agent, () -> agent.called(call, entry));
        }
    }

    /** Gives up on calls that were not answered in time. */
    void giveUpLate() {
        for (RequestId id : List.copyOf(waiting.keySet())) {
            if (world.now() - waiting.get(id).sinceNanoseconds() >= LONGEST_WAIT.toNanos()) {
                waiting.remove(id);
                world.ledger().toldLost();
            }
        }
    }

    void answered(BookingCall call, String answerDigest) {
        Waiting found = waiting.remove(call.claim().id());
        if (found == null) {
            return;
        }
        world.ledger().toldAnswered(call.claim(), answerDigest);
        committer.recordAnswer(found.ticket(), new RecordedAnswer(201, "text/plain", Optional.empty(), answerDigest));
    }

    void refused(BookingCall call) {
        Waiting found = waiting.remove(call.claim().id());
        if (found == null) {
            return;
        }
        world.ledger().toldNotRun(call.claim());
        committer.recordNeverStarted(found.ticket());
    }

    /** A dispatched call. */
    private record Waiting(ClaimTicket ticket, long sinceNanoseconds) {}
}
