package org.aspenmoor.internal.document;

import org.aspenmoor.AspenmoorException;

/** The store stopped answering after the change was sent; it may or may not be accepted. */
public final class DocumentOutcomeUnknownException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public DocumentOutcomeUnknownException(ServiceName name, long revision, Throwable cause) {
        super(
                "The store stopped answering; nobody knows yet whether revision " + revision + " was accepted.",
                name.toString(),
                "Look at the history once the store answers; accepting the same text again does no harm.",
                cause);
    }
}
