package org.aspenmoor.internal.store;

/** The call budget of the process is used up; nothing was sent. */
public final class StoreBudgetException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreBudgetException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreBudgetException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
