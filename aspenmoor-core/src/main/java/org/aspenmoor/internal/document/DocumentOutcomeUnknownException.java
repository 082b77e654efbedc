package org.aspenmoor.internal.document;

import org.aspenmoor.AspenmoorException;

/** The store did not answer after a change was sent; the change may or may not have been accepted. */
public final class DocumentOutcomeUnknownException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public DocumentOutcomeUnknownException(ServiceName name, long revision, Throwable cause) {
        super(
                "The store did not answer; whether revision " + revision + " was accepted is unknown.",
                name.toString(),
                "Check the history when the store answers again; accepting the same text again is safe.",
                cause);
    }
}
