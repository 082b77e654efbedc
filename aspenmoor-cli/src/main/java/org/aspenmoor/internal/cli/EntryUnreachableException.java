package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** Thrown when the entry cannot be reached or the connection fails before its answer arrives. */
final class EntryUnreachableException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    EntryUnreachableException(String address, boolean mayHaveTakenEffect, Throwable cause) {
        super(
                mayHaveTakenEffect
                        ? "The entry stopped responding after the change was sent; the change may have been accepted."
                        : "The entry did not respond: " + cause + ".",
                address,
                mayHaveTakenEffect
                        ? "Check \"aspenmoor document history\" through another entry before repeating the change."
                        : "Check --entry, or give the address of another entry; any entry can be used.",
                cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
