package org.aspenmoor.internal.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.accounting.ChunkAccount;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.stream.ChunkVerdict;
import org.aspenmoor.internal.stream.EndVerdict;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Last;
import org.aspenmoor.internal.wire.v1.Refused;
import org.aspenmoor.internal.wire.v1.Started;

/** Takes the frames of answers and gives callers what is theirs. */
final class AnswerReceiver {
    private static final int STATUS_OK = 200;

    private final RequestTable requestTable;
    private final AttemptDriver driver;
    private final CallerLimits limits;
    private final EntryMetrics metrics;
    private final Claims claims;
    private final ChunkAccount chunks = new ChunkAccount();

    AnswerReceiver(
            RequestTable requestTable, AttemptDriver driver, CallerLimits limits, EntryMetrics metrics, Claims claims) {
        this.claims = claims;
        this.requestTable = requestTable;
        this.driver = driver;
        this.limits = limits;
        this.metrics = metrics;
    }

    ChunkAccount chunks() {
        return chunks;
    }

    void started(Started started, long now) {
        requestTable.findCurrent(started.getId()).ifPresent(request -> {
            request.progressed(now);
            request.plainStarted(started.getStatus(), started.getHeadersList());
        });
    }

    void chunk(Chunk chunk, long now) {
        chunks.received();
        Optional<ActiveRequest> found = requestTable.findCurrent(chunk.getId());
        if (found.isEmpty()) {
            chunks.discarded();
            metrics.chunkDiscarded();
            return;
        }
        ActiveRequest request = found.get();
        byte[] data = chunk.getData().toByteArray();
        boolean first = request.assembly().deliveredBytes() == 0;
        ChunkVerdict verdict =
                request.assembly().chunk(chunk.getId().getAttempt(), chunk.getSequence(), data, chunk.getTokens());
        chunks.judged(verdict);
        switch (verdict) {
            case ChunkVerdict.Deliver ignored -> deliver(request, chunk, data, first, now);
            case ChunkVerdict.Discard ignored -> metrics.chunkDiscarded();
            case ChunkVerdict.Broken broken -> abandon(request, broken.detail(), now);
        }
    }

    void last(Last last, long now) {
        Optional<ActiveRequest> found = requestTable.findCurrent(last.getId());
        if (found.isEmpty()) {
            return;
        }
        ActiveRequest request = found.get();
        if (last.getEnd() != Last.End.COMPLETE) {
            driver.lost(request, last.getDetail(), now);
            return;
        }
        EndVerdict verdict =
                request.assembly().complete(last.getId().getAttempt(), last.getCount(), last.getChecksum());
        switch (verdict) {
            case EndVerdict.Whole ignored -> whole(request, last, now);
            case EndVerdict.Discard ignored -> metrics.chunkDiscarded();
            case EndVerdict.Broken broken -> driver.lost(request, broken.detail(), now);
        }
    }

    void refused(Refused refused, long now) {
        requestTable
                .findCurrent(refused.getId())
                .ifPresent(request -> driver.neverStarted(request, refused.getDetail(), now));
    }

    /** Passes credit for what the caller has taken on to the agent. */
    void returnCredit(ActiveRequest request) {
        int taken = request.sink().takeTaken();
        if (taken > 0) {
            credit(request, taken);
        }
    }

    private void deliver(ActiveRequest request, Chunk chunk, byte[] data, boolean first, long now) {
        request.progressed(now);
        switch (request.incoming().work()) {
            case CallerWork.Generation ignored -> {
                if (first) {
                    double seconds = (now - request.receivedAt()) / (double) TimeUnit.SECONDS.toNanos(1);
                    metrics.firstToken(request.document(), request.kind(), seconds);
                    requestTable.trace(request, now, "first token");
                }
                String text = chunk.getData().toStringUtf8();
                request.delivered(text);
                request.sink().piece(text);
                returnCredit(request);
            }
            case CallerWork.PlainCall ignored -> deliverPlain(request, data, now);
        }
    }

    private void deliverPlain(ActiveRequest request, byte[] data, long now) {
        int length = request.plainData(data);
        if (length > limits.maxAnswerBytes()) {
            cancelAtAgent(request);
            driver.endAttempt(request, true, now);
            requestTable.unknown(
                    request, "The service's answer is longer than " + limits.maxAnswerBytes() + " bytes.", now);
            return;
        }
        credit(request, 1);
    }

    private void whole(ActiveRequest request, Last last, long now) {
        driver.answered(request);
        driver.endAttempt(request, true, now);
        switch (request.incoming().work()) {
            case CallerWork.Generation generation -> {
                requestTable.answered(request, STATUS_OK, now);
                request.sink()
                        .generationDone(
                                last.getFinishReason(),
                                generation.request().promptTokens(),
                                request.assembly().deliveredTokens());
            }
            case CallerWork.PlainCall ignored -> {
                PlainAnswer answer = request.plainAnswer();
                request.ticket().ifPresent(ticket -> claims.answered(ticket, answer));
                requestTable.answered(request, answer.status(), now);
                request.sink().plainAnswer(answer);
            }
        }
        requestTable.trace(request, now, "answered whole, " + last.getCount() + " chunks in the last attempt");
    }

    private void abandon(ActiveRequest request, String detail, long now) {
        cancelAtAgent(request);
        driver.lost(request, detail, now);
    }

    private static void cancelAtAgent(ActiveRequest request) {
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
    }

    private static void credit(ActiveRequest request, int count) {
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.credit(request, count)));
    }
}
