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

/** Passes calls below {@code /services/SERVICE/} on to the team's plain service. */
final class PassThroughHandler implements Handler {
    private static final Set<String> KEPT_BACK = Set.of("authorization", "host", "connection", "transfer-encoding");

    private final RequestSubmitter submitter;
    private final CallerLimits limits;

    PassThroughHandler(RequestSubmitter submitter, CallerLimits limits) {
        this.submitter = submitter;
        this.limits = limits;
    }

    @Override
    public void handle(Context context) {
        RequestId id = submitter.drawId();
        BodyReading.read(context, id, limits, body -> pass(context, id, body));
    }

    private void pass(Context context, RequestId id, byte[] body) {
        String service = context.getPathTokens().get("service");
        CallerWork.PlainCall call = new CallerWork.PlainCall(
                service,
                context.getRequest().getMethod().getName(),
                pathBelow(context, service),
                headersOf(context.getRequest().getHeaders()),
                body);
        WholeSink sink = new WholeSink();
        submitter.submit(context, id, call, sink);
        AnswerWriter.await(sink.signal()).then(signal -> {
            switch (signal) {
                case FirstSignal.Plain plain -> AnswerWriter.writePlain(context, id, plain.answer());
                case FirstSignal.Refused refused -> AnswerWriter.writeRefusal(context, id, refused.refusal());
                case FirstSignal.Lost lost -> AnswerWriter.writeUnknown(context, id, lost.unknown());
                case FirstSignal.StreamBegins ignored ->
                    throw new IllegalStateException("a plain service has no stream");
                case FirstSignal.WholeText ignored ->
                    throw new IllegalStateException("a plain service gives no generation");
            }
        });
    }

    private static String pathBelow(Context context, String service) {
        String prefix = "services/" + service;
        String path = context.getRequest().getPath();
        String below = path.length() > prefix.length() ? path.substring(prefix.length()) : "/";
        String query = context.getRequest().getQuery();
        return query.isEmpty() ? below : below + "?" + query;
    }

    private static List<Header> headersOf(Headers headers) {
        List<Header> kept = new ArrayList<>();
        for (String name : headers.getNames()) {
            if (KEPT_BACK.contains(name.toLowerCase(Locale.ROOT))) {
                continue;
            }
            for (String value : headers.getAll(name)) {
                kept.add(Header.newBuilder().setName(name).setValue(value).build());
            }
        }
        return kept;
    }
}
