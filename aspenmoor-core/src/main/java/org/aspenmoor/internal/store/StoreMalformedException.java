package org.aspenmoor.internal.store;

/** The store rejected a call as invalid, or a response or stored object does not have the expected format. */
public final class StoreMalformedException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreMalformedException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreMalformedException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
