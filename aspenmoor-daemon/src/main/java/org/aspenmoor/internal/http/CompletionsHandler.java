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

/** Takes completions, in the plain or the chat form of the protocol. */
final class CompletionsHandler implements Handler {
    private static final int MALFORMED = 400;
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
        RequestId id = submitter.drawId();
        BodyReading.read(context, id, limits, body -> answer(context, id, body));
    }

    private void answer(Context context, RequestId id, byte[] body) {
        Findings findings = new Findings();
        Optional<CompletionRequest> request = new CompletionReader(findings).read(body, chat);
        if (request.isEmpty()) {
            AnswerWriter.writeError(context, id, MALFORMED, "not-run", ErrorBodies.malformed(findings.all()));
            return;
        }
        CompletionEvents events =
                new CompletionEvents(id, request.get(), time.wallClockTime().getEpochSecond());
        if (request.get().stream()) {
            answerStream(context, id, request.get(), events);
        } else {
            answerWhole(context, id, request.get(), events);
        }
    }

    private void answerWhole(Context context, RequestId id, CompletionRequest request, CompletionEvents events) {
        WholeSink sink = new WholeSink();
        submitter.submit(context, id, new CallerWork.Generation(request), sink);
        AnswerWriter.await(sink.signal()).then(signal -> {
            switch (signal) {
                case FirstSignal.WholeText whole -> AnswerWriter.writeJson(context, id, events.whole(whole));
                case FirstSignal.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case FirstSignal.Lost lost -> AnswerWriter.writeUnknown(context, id, lost.unknown());
                case FirstSignal.Plain plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case FirstSignal.StreamBegins ignored ->
                    throw new IllegalStateException("a whole answer has no stream");
            }
        });
    }

    private void answerStream(Context context, RequestId id, CompletionRequest request, CompletionEvents events) {
        Runnable cut = () -> context.getDirectChannelAccess().getChannel().close();
        int noticeEvery = Math.max(1, limits.chunkCredit() / 4);
        StreamSink sink = new StreamSink(events, () -> submitter.callerTook(id), cut, noticeEvery);
        submitter.submit(context, id, new CallerWork.Generation(request), sink);
        AnswerWriter.await(sink.signal()).then(signal -> {
            switch (signal) {
                case FirstSignal.StreamBegins ignored -> writeStream(context, id, sink);
                case FirstSignal.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case FirstSignal.Lost lost -> AnswerWriter.writeUnknown(context, id, lost.unknown());
                case FirstSignal.Plain plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case FirstSignal.WholeText whole -> AnswerWriter.writeJson(context, id, events.whole(whole));
            }
        });
    }

    private static void writeStream(Context context, RequestId id, StreamSink sink) {
        AnswerWriter.name(context, id, "answered");
        context.getResponse().getHeaders().set("Cache-Control", "no-cache");
        context.render(ResponseChunks.bufferChunks(EVENT_STREAM, Streams.bindExec(sink)));
    }
}
