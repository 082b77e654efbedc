package org.aspenmoor.internal.store;

import org.aspenmoor.AspenmoorException;

/** A store call failed; the subtype says whether anything may have been written. */
public abstract sealed class StoreException extends AspenmoorException
        permits StoreConflictException,
                StoreUnavailableException,
                StoreOutcomeUnknownException,
                StoreBudgetException,
                StoreMalformedException {
    private static final long serialVersionUID = 1L;

    protected StoreException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
