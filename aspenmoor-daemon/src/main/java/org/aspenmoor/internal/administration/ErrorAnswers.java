package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.DocumentConflictException;
import org.aspenmoor.internal.document.DocumentNotFoundException;
import org.aspenmoor.internal.document.DocumentOutcomeUnknownException;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;

/** Converts errors to answers: the problem, its place, the remedy, and whether anything was changed. */
final class ErrorAnswers {
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNPROCESSABLE = 422;
    private static final int INTERNAL = 500;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Map<String, String> RETRY_AFTER = Map.of("Retry-After", "2");

    private ErrorAnswers() {}

    static ApiAnswer of(AspenmoorException error) {
        return switch (error) {
            case FindingsException mistakes -> ofFindings(mistakes);
            case DocumentConflictException conflict -> ofConflict(conflict);
            case DocumentNotFoundException notFound -> answer(NOT_FOUND, notFound);
            case DocumentOutcomeUnknownException unknown -> ofUnknown(unknown);
            case RequestRefusedException refused -> answer(refused.status(), refused);
            case StoreUnavailableException unavailable -> retryLater(unavailable);
            case StoreBudgetException overBudget -> retryLater(overBudget);
            // This write only records the previous revision; the change itself has not been attempted.
            case StoreOutcomeUnknownException beforeChange -> retryLater(beforeChange);
            default -> answer(INTERNAL, error);
        };
    }

    static ArrayNode findings(List<Finding> findings) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        for (Finding finding : findings) {
            array.addObject()
                    .put("source", finding.location().source())
                    .put("line", finding.location().line())
                    .put("column", finding.location().column())
                    .put("path", finding.location().path())
                    .put("problem", finding.problem())
                    .put("remedy", finding.remedy());
        }
        return array;
    }

    private static ApiAnswer ofFindings(FindingsException mistakes) {
        ObjectNode body = body(mistakes);
        body.put(
                "place",
                mistakes.findings().isEmpty()
                        ? ""
                        : mistakes.findings().getFirst().location().source());
        body.set("findings", findings(mistakes.findings()));
        return new ApiAnswer(UNPROCESSABLE, body, Map.of());
    }

    private static ApiAnswer ofConflict(DocumentConflictException conflict) {
        ObjectNode body = body(conflict);
        body.put("currentRevision", conflict.currentRevision());
        conflict.changesMeanwhile().forEach(body.putArray("changesMeanwhile")::add);
        return new ApiAnswer(PRECONDITION_FAILED, body, Map.of("ETag", "\"" + conflict.currentRevision() + "\""));
    }

    private static ApiAnswer ofUnknown(DocumentOutcomeUnknownException unknown) {
        ObjectNode body = body(unknown);
        body.put("outcome", "unknown");
        return new ApiAnswer(GATEWAY_TIMEOUT, body, Map.of());
    }

    private static ApiAnswer retryLater(AspenmoorException storeError) {
        return new ApiAnswer(UNAVAILABLE, body(storeError), RETRY_AFTER);
    }

    private static ApiAnswer answer(int status, AspenmoorException error) {
        return new ApiAnswer(status, body(error), Map.of());
    }

    private static ObjectNode body(AspenmoorException error) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("problem", error.problem());
        body.put("place", error.place());
        body.put("remedy", error.remedy());
        body.put("outcome", "not-run");
        body.putArray("findings");
        return body;
    }
}
