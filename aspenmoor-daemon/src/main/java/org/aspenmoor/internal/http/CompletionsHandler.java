package org.aspenmoor.internal.http;

import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.entry.CallerWork;
import org.aspenmoor.internal.entry.CompletionRequest;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.time.TimeSource;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.ResponseChunks;
import ratpack.stream.Streams;

/** Handles text completions or chat completions. */
final class CompletionsHandler implements Handler {
    private static final int BAD_REQUEST = 400;
    private static final String EVENT_STREAM = "text/event-stream;charset=UTF-8";

    private final RequestSubmitter submitter;
    private final CallerLimits limits;
    private final TimeSource time;
    private final boolean chat;

    CompletionsHandler(RequestSubmitter submitter, CallerLimits limits, TimeSource time, boolean chat) {
        this.submitter = submitter;
        this.limits = limits;
        this.time = time;
        this.chat = chat;
    }

    @Override
    public void handle(Context context) {
        RequestId id = submitter.newRequestId();
        RequestBodyReader.read(context, id, limits, body -> answer(context, id, body));
    }

    private void answer(Context context, RequestId id, byte[] body) {
        Findings findings = new Findings();
        Optional<CompletionRequest> request = new CompletionReader(findings).read(body, chat);
        if (request.isEmpty()) {
            AnswerWriter.writeError(context, id, BAD_REQUEST, "not-run", ErrorBodies.malformed(findings.all()));
            return;
        }
        CompletionFormatter formatter =
                new CompletionFormatter(id, request.get(), time.wallClockTime().getEpochSecond());
        if (request.get().stream()) {
            answerStream(context, id, request.get(), formatter);
        } else {
            answerComplete(context, id, request.get(), formatter);
        }
    }

    private void answerComplete(
            Context context, RequestId id, CompletionRequest request, CompletionFormatter formatter) {
        CompleteAnswerSink sink = new CompleteAnswerSink();
        submitter.submit(context, id, new CallerWork.Generation(request), sink);
        AnswerWriter.await(sink.answerStart()).then(answerStart -> {
            switch (answerStart) {
                case AnswerStart.CompleteText complete ->
                    AnswerWriter.writeJson(context, id, formatter.completeAnswer(complete));
                case AnswerStart.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case AnswerStart.UnknownOutcome unknown -> AnswerWriter.writeUnknown(context, id, unknown.unknown());
                case AnswerStart.PlainServiceAnswer plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case AnswerStart.StreamStarted ignored ->
                    throw new IllegalStateException("unexpected start of a stream for a request without streaming");
            }
        });
    }

    private void answerStream(Context context, RequestId id, CompletionRequest request, CompletionFormatter formatter) {
        Runnable closeConnection =
                () -> context.getDirectChannelAccess().getChannel().close();
        int reportInterval = Math.max(1, limits.chunkCredit() / 4);
        StreamedAnswerSink sink = new StreamedAnswerSink(
                formatter, () -> submitter.reportConsumption(id), closeConnection, reportInterval);
        submitter.submit(context, id, new CallerWork.Generation(request), sink);
        AnswerWriter.await(sink.answerStart()).then(answerStart -> {
            switch (answerStart) {
                case AnswerStart.StreamStarted ignored -> writeStream(context, id, sink);
                case AnswerStart.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case AnswerStart.UnknownOutcome unknown -> AnswerWriter.writeUnknown(context, id, unknown.unknown());
                case AnswerStart.PlainServiceAnswer plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case AnswerStart.CompleteText complete ->
                    AnswerWriter.writeJson(context, id, formatter.completeAnswer(complete));
            }
        });
    }

    private static void writeStream(Context context, RequestId id, StreamedAnswerSink sink) {
        AnswerWriter.setOutcomeHeaders(context, id, "answered");
        context.getResponse().getHeaders().set("Cache-Control", "no-cache");
        context.render(ResponseChunks.bufferChunks(EVENT_STREAM, Streams.bindExec(sink)));
    }
}
