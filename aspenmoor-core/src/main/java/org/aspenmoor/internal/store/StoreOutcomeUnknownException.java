package org.aspenmoor.internal.store;

/** The answer to a write was lost; it may have taken effect. Settle by reading before doing anything else. */
public final class StoreOutcomeUnknownException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreOutcomeUnknownException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreOutcomeUnknownException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
