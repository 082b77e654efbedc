package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** The entry does not answer. */
final class EntryUnreachableException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    EntryUnreachableException(String place, boolean mayHaveTakenEffect, Throwable cause) {
        super(
                mayHaveTakenEffect
                        ? "The entry stopped answering after the change was sent; nobody knows whether it was accepted."
                        : "The entry does not answer: " + cause + ".",
                place,
                mayHaveTakenEffect
                        ? "Look at \"aspenmoor document history\" through another entry before repeating the change."
                        : "Check --entry, or name another entry; any of them will do.",
                cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
