package org.aspenmoor.internal.store;

/** The process has used its share of store calls; nothing was sent. */
public final class StoreBudgetException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreBudgetException(String problem, String place, String remedy) {
        super(problem, place, remedy, null);
    }

    public StoreBudgetException(String problem, String place, String remedy, Throwable cause) {
        super(problem, place, remedy, cause);
    }
}
