package org.aspenmoor.internal.store;

/** The store could not be reached, or reported that it did not execute the call; nothing was written. */
public final class StoreUnavailableException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreUnavailableException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreUnavailableException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
