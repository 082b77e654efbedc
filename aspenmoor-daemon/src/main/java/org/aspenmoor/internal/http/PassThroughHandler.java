package org.aspenmoor.internal.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.entry.CallerWork;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.wire.v1.Header;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Headers;

/** Forwards calls below {@code /services/SERVICE/} to the team's plain service. */
final class PassThroughHandler implements Handler {
    private static final Set<String> UNFORWARDED_HEADERS =
            Set.of("authorization", "host", "connection", "transfer-encoding");

    private final RequestSubmitter submitter;
    private final CallerLimits limits;

    PassThroughHandler(RequestSubmitter submitter, CallerLimits limits) {
        this.submitter = submitter;
        this.limits = limits;
    }

    @Override
    public void handle(Context context) {
        RequestId id = submitter.newRequestId();
        RequestBodyReader.read(context, id, limits, body -> forward(context, id, body));
    }

    private void forward(Context context, RequestId id, byte[] body) {
        String service = context.getPathTokens().get("service");
        CallerWork.PlainCall call = new CallerWork.PlainCall(
                service,
                context.getRequest().getMethod().getName(),
                pathBelowService(context, service),
                forwardedHeaders(context.getRequest().getHeaders()),
                body);
        CompleteAnswerSink sink = new CompleteAnswerSink();
        submitter.submit(context, id, call, sink);
        AnswerWriter.await(sink.answerStart()).then(answerStart -> {
            switch (answerStart) {
                case AnswerStart.PlainServiceAnswer plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case AnswerStart.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case AnswerStart.UnknownOutcome unknown -> AnswerWriter.writeUnknown(context, id, unknown.unknown());
                case AnswerStart.StreamStarted ignored ->
                    throw new IllegalStateException("unexpected start of a stream from a plain service");
                case AnswerStart.CompleteText ignored ->
                    throw new IllegalStateException("unexpected generated text from a plain service");
            }
        });
    }

    private static String pathBelowService(Context context, String service) {
        String prefix = "services/" + service;
        String path = context.getRequest().getPath();
        String subPath = path.length() > prefix.length() ? path.substring(prefix.length()) : "/";
        String query = context.getRequest().getQuery();
        return query.isEmpty() ? subPath : subPath + "?" + query;
    }

    private static List<Header> forwardedHeaders(Headers headers) {
        List<Header> forwarded = new ArrayList<>();
        for (String name : headers.getNames()) {
            if (UNFORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                continue;
            }
            for (String value : headers.getAll(name)) {
                forwarded.add(Header.newBuilder().setName(name).setValue(value).build());
            }
        }
        return forwarded;
    }
}
