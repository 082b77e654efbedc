package org.aspenmoor.internal.store;

/** The condition of a write did not hold; nothing was written. */
public final class StoreConflictException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreConflictException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreConflictException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
