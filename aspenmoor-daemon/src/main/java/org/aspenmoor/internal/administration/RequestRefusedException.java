package org.aspenmoor.internal.administration;

import org.aspenmoor.AspenmoorException;

/** Thrown when a call of the administration API is refused before it has any effect. */
public final class RequestRefusedException extends AspenmoorException {
    private static final long serialVersionUID = 1L;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORISED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;
    private static final int PRECONDITION_REQUIRED = 428;

    private final int status;

    private RequestRefusedException(int status, String problem, String place, String remedy) {
        super(problem, place, remedy);
        this.status = status;
    }

    static RequestRefusedException unauthorised() {
        return new RequestRefusedException(
                UNAUTHORISED,
                "The operator's token is missing or unknown.",
                "Authorization",
                "Send the header Authorization: Bearer TOKEN with an operator's token.");
    }

    static RequestRefusedException outOfScope(String place) {
        return new RequestRefusedException(
                FORBIDDEN,
                "The operator's token does not give access to this.",
                place,
                "Use a token of the owning team or of the whole platform.");
    }

    static RequestRefusedException malformed(String place, String problem) {
        return new RequestRefusedException(BAD_REQUEST, problem, place, "Correct the value and call again.");
    }

    static RequestRefusedException unknown(String problem, String place, String remedy) {
        return new RequestRefusedException(NOT_FOUND, problem, place, remedy);
    }

    static RequestRefusedException methodNotAllowed(String method) {
        return new RequestRefusedException(
                METHOD_NOT_ALLOWED,
                "The path does not support the method " + method + ".",
                method,
                "See /admin/v1/openapi.json for the methods of the path.");
    }

    static RequestRefusedException expectedRevisionMissing() {
        return new RequestRefusedException(
                PRECONDITION_REQUIRED,
                "The change does not state the revision it is based on.",
                "If-Match",
                "Send the header If-Match with the revision that you read, or 0 for a first document.");
    }

    static RequestRefusedException tooLarge(int maxBytes) {
        return new RequestRefusedException(
                TOO_LARGE,
                "The body is longer than " + maxBytes + " bytes.",
                "body",
                "Shorten the document, or split the service.");
    }

    /** Returns the HTTP status of the refusal. */
    int status() {
        return status;
    }
}
