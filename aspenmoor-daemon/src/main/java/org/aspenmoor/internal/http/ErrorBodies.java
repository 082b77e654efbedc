package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.finding.Finding;

/** Formats refusals and errors as clients of the completions protocol expect them. */
final class ErrorBodies {
    private ErrorBodies() {}

    static ObjectNode notRun(Outcome.NotRun refusal) {
        ObjectNode body = body("not_run", refusal.reason().name().toLowerCase(java.util.Locale.ROOT), refusal.detail());
        errorObject(body)
                .put("outcome", "not-run")
                .put("come_back_after_milliseconds", refusal.comeBackAfter().toMillis());
        return body;
    }

    static ObjectNode unknown(String detail) {
        ObjectNode body = body("unknown", "outcome_unknown", detail);
        errorObject(body).put("outcome", "unknown");
        return body;
    }

    static ObjectNode malformed(List<Finding> findings) {
        Finding first = findings.getFirst();
        ObjectNode body = body("invalid_request_error", "malformed", first.problem() + " " + first.remedy());
        ObjectNode error = errorObject(body);
        error.put("outcome", "not-run");
        error.put("param", first.location().path());
        var all = error.putArray("findings");
        for (Finding finding : findings) {
            all.addObject()
                    .put("param", finding.location().path())
                    .put("problem", finding.problem())
                    .put("remedy", finding.remedy());
        }
        return body;
    }

    static int statusOf(RefusalReason reason) {
        return switch (reason) {
            case NOT_AUTHORISED -> 401;
            case MALFORMED -> 400;
            case NO_SUCH_SERVICE -> 404;
            case KEY_REUSED -> 422;
            case OVERLOADED, RETRY_BUDGET_SPENT -> 429;
            case CANNOT_FINISH_IN_TIME, NO_BACKEND, STORE_UNAVAILABLE, STOPPING, DOCUMENT_UNCERTAIN -> 503;
        };
    }

    private static ObjectNode body(String type, String code, String message) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ObjectNode error = body.putObject("error");
        error.put("message", message);
        error.put("type", type);
        error.put("code", code);
        return body;
    }

    private static ObjectNode errorObject(ObjectNode body) {
        return (ObjectNode) body.get("error");
    }
}
