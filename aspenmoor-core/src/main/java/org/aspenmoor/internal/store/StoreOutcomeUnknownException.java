package org.aspenmoor.internal.store;

/** The response to a write was lost; the write may have taken effect. Read the object before doing anything else. */
public final class StoreOutcomeUnknownException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreOutcomeUnknownException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreOutcomeUnknownException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
