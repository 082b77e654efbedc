package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.aspenmoor.AspenmoorException;

/** Thrown when the entry answers with an HTTP error status. */
final class CallRefusedException extends AspenmoorException {
    private static final long serialVersionUID = 1L;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNPROCESSABLE = 422;
    private static final int INTERNAL = 500;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final int status;
    private final transient JsonNode body;

    CallRefusedException(int status, JsonNode body, String address) {
        super(
                body.path("problem").asText("The entry answered with status " + status + "."),
                body.path("place").asText(address),
                body.path("remedy").asText("Check that --entry gives the address of an aspenmoor entry."));
        this.status = status;
        this.body = body;
    }

    JsonNode body() {
        return body;
    }

    ExitCode exitCode() {
        return switch (status) {
            case UNPROCESSABLE -> ExitCode.MISTAKES;
            case PRECONDITION_FAILED -> ExitCode.CONFLICT;
            case UNAVAILABLE -> ExitCode.UNAVAILABLE;
            case GATEWAY_TIMEOUT -> ExitCode.UNKNOWN;
            default -> status >= INTERNAL ? ExitCode.INTERNAL_ERROR : ExitCode.REFUSED;
        };
    }
}
