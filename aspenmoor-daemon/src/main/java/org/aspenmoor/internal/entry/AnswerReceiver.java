package org.aspenmoor.internal.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.accounting.ChunkCounters;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.stream.ChunkDecision;
import org.aspenmoor.internal.stream.EndDecision;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Last;
import org.aspenmoor.internal.wire.v1.Refused;
import org.aspenmoor.internal.wire.v1.Started;

/** Processes answer frames from agents and delivers their content to callers. */
final class AnswerReceiver {
    private static final int STATUS_OK = 200;

    private final RequestTable requestTable;
    private final RequestDispatcher dispatcher;
    private final CallerLimits limits;
    private final EntryMetrics metrics;
    private final ClaimClient claimClient;
    private final ChunkCounters chunks = new ChunkCounters();

    AnswerReceiver(
            RequestTable requestTable,
            RequestDispatcher dispatcher,
            CallerLimits limits,
            EntryMetrics metrics,
            ClaimClient claimClient) {
        this.claimClient = claimClient;
        this.requestTable = requestTable;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.metrics = metrics;
    }

    ChunkCounters chunks() {
        return chunks;
    }

    void handleStarted(Started started, long now) {
        requestTable.findByCurrentAttempt(started.getId()).ifPresent(request -> {
            request.recordProgress(now);
            request.startPlainAnswer(started.getStatus(), started.getHeadersList());
        });
    }

    void handleChunk(Chunk chunk, long now) {
        chunks.countReceived();
        Optional<ActiveRequest> found = requestTable.findByCurrentAttempt(chunk.getId());
        if (found.isEmpty()) {
            chunks.countDiscarded();
            metrics.recordDiscardedChunk();
            return;
        }
        ActiveRequest request = found.get();
        byte[] data = chunk.getData().toByteArray();
        boolean first = request.assembly().deliveredBytes() == 0;
        ChunkDecision decision =
                request.assembly().onChunk(chunk.getId().getAttempt(), chunk.getSequence(), data, chunk.getTokens());
        chunks.countDecision(decision);
        switch (decision) {
            case ChunkDecision.Deliver ignored -> deliver(request, chunk, data, first, now);
            case ChunkDecision.Discard ignored -> metrics.recordDiscardedChunk();
            case ChunkDecision.Broken broken -> failAttempt(request, broken.detail(), now);
        }
    }

    void handleLast(Last last, long now) {
        Optional<ActiveRequest> found = requestTable.findByCurrentAttempt(last.getId());
        if (found.isEmpty()) {
            return;
        }
        ActiveRequest request = found.get();
        if (last.getEnd() != Last.End.COMPLETE) {
            dispatcher.attemptLost(request, last.getDetail(), now);
            return;
        }
        EndDecision decision =
                request.assembly().onLastFrame(last.getId().getAttempt(), last.getCount(), last.getChecksum());
        switch (decision) {
            case EndDecision.Complete ignored -> completeAnswer(request, last, now);
            case EndDecision.Discard ignored -> metrics.recordDiscardedChunk();
            case EndDecision.Broken broken -> dispatcher.attemptLost(request, broken.detail(), now);
        }
    }

    void handleRefused(Refused refused, long now) {
        requestTable
                .findByCurrentAttempt(refused.getId())
                .ifPresent(request -> dispatcher.attemptNotStarted(request, refused.getDetail(), now));
    }

    /** Returns credit to the agent for the pieces that the caller has consumed. */
    void returnCredit(ActiveRequest request) {
        int consumed = request.sink().takeConsumedPieces();
        if (consumed > 0) {
            sendCredit(request, consumed);
        }
    }

    private void deliver(ActiveRequest request, Chunk chunk, byte[] data, boolean first, long now) {
        request.recordProgress(now);
        switch (request.incoming().work()) {
            case CallerWork.Generation ignored -> {
                if (first) {
                    double seconds = (now - request.receivedAt()) / (double) TimeUnit.SECONDS.toNanos(1);
                    metrics.recordFirstToken(request.document(), request.kind(), seconds);
                    requestTable.trace(request, now, "first token");
                }
                String text = chunk.getData().toStringUtf8();
                request.appendDelivered(text);
                request.sink().onText(text);
                returnCredit(request);
            }
            case CallerWork.PlainCall ignored -> deliverPlainData(request, data, now);
        }
    }

    private void deliverPlainData(ActiveRequest request, byte[] data, long now) {
        int length = request.appendPlainBody(data);
        if (length > limits.maxAnswerBytes()) {
            cancelAtAgent(request);
            dispatcher.endAttempt(request, true, now);
            requestTable.endUnknown(
                    request,
                    "The service's answer is longer than the limit of " + limits.maxAnswerBytes() + " bytes.",
                    now);
            return;
        }
        sendCredit(request, 1);
    }

    private void completeAnswer(ActiveRequest request, Last last, long now) {
        dispatcher.recordSuccess(request);
        dispatcher.endAttempt(request, true, now);
        switch (request.incoming().work()) {
            case CallerWork.Generation generation -> {
                requestTable.endAnswered(request, STATUS_OK, now);
                request.sink()
                        .onGenerationComplete(
                                last.getFinishReason(),
                                generation.request().promptTokens(),
                                request.assembly().deliveredTokens());
            }
            case CallerWork.PlainCall ignored -> {
                PlainAnswer answer = request.plainAnswer();
                request.ticket().ifPresent(ticket -> claimClient.recordAnswer(ticket, answer));
                requestTable.endAnswered(request, answer.status(), now);
                request.sink().onPlainAnswer(answer);
            }
        }
        requestTable.trace(request, now, "answer complete, " + last.getCount() + " chunks in the last attempt");
    }

    private void failAttempt(ActiveRequest request, String detail, long now) {
        cancelAtAgent(request);
        dispatcher.attemptLost(request, detail, now);
    }

    private static void cancelAtAgent(ActiveRequest request) {
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
    }

    private static void sendCredit(ActiveRequest request, int count) {
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.credit(request, count)));
    }
}
