package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.Outcome;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.entry.PlainAnswer;
import org.aspenmoor.internal.wire.v1.Header;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Writes the outcome of a request as an HTTP answer. */
final class AnswerWriter {
    /** Header with the outcome: answered, not-run or unknown. */
    static final String OUTCOME_HEADER = "Aspenmoor-Outcome";

    /** Header with the request id, which {@code aspenmoor explain} takes. */
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final int BAD_GATEWAY = 502;
    // Retry-After has whole seconds; added before the division, so that the wait is rounded up.
    private static final int ROUND_UP_MILLISECONDS = 999;
    private static final String JSON = "application/json";

    private AnswerWriter() {}

    static Promise<AnswerStart> await(CompletableFuture<AnswerStart> answerStart) {
        return Promise.async(downstream -> answerStart.thenAccept(downstream::success));
    }

    static void writeRefusal(Context context, RequestId id, Outcome.NotRun refusal) {
        long seconds = TimeUnit.MILLISECONDS.toSeconds(refusal.comeBackAfter().toMillis() + ROUND_UP_MILLISECONDS);
        if (seconds > 0) {
            context.getResponse().getHeaders().set("Retry-After", String.valueOf(seconds));
        }
        writeError(context, id, ErrorBodies.statusOf(refusal.reason()), "not-run", ErrorBodies.notRun(refusal));
    }

    static void writeUnknown(Context context, RequestId id, Outcome.Unknown unknown) {
        writeError(context, id, BAD_GATEWAY, "unknown", ErrorBodies.unknown(unknown.detail()));
    }

    static void writeError(Context context, RequestId id, int status, String outcome, ObjectNode body) {
        setOutcomeHeaders(context, id, outcome);
        context.getResponse().status(status).send(JSON, body.toString());
    }

    static void writeJson(Context context, RequestId id, String body) {
        setOutcomeHeaders(context, id, "answered");
        context.getResponse().send(JSON, body);
    }

    static void writePlain(Context context, RequestId id, PlainAnswer answer) {
        for (Header header : answer.headers()) {
            context.getResponse().getHeaders().add(header.getName(), header.getValue());
        }
        setOutcomeHeaders(context, id, "answered");
        context.getResponse().status(answer.status()).send(answer.body());
    }

    static void setOutcomeHeaders(Context context, RequestId id, String outcome) {
        context.getResponse().getHeaders().set(OUTCOME_HEADER, outcome).set(REQUEST_ID_HEADER, id.toString());
    }
}
