package org.aspenmoor.internal.store;

/** The store or an object in it does not hold what was expected. */
public final class StoreMalformedException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreMalformedException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreMalformedException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
