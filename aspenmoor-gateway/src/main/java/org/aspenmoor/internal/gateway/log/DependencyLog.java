package org.aspenmoor.internal.gateway.log;

/**
 * Writes one line when a dependency becomes unavailable and one when it is available again.
 *
 * <p>While the store is unavailable, every call to it fails in the same way. One line per failed call would give
 * hundreds of lines within seconds, which hide other changes and do not show when the outage ended.
 */
public final class DependencyLog {
    private final DecisionLog log;
    private final String name;
    private long failures;

    /**
     * Creates a log.
     *
     * @param name the data that this process reads from the dependency
     */
    public DependencyLog(DecisionLog log, String name) {
        this.log = log;
        this.name = name;
    }

    /** Records a failed call. */
    public synchronized void lost(String reason) {
        failures++;
        if (failures == 1) {
            log.notable("store-lost")
                    .with("following", name)
                    .with("reason", reason)
                    .write();
        }
    }

    /** Records a successful call. */
    public synchronized void back() {
        if (failures > 0) {
            log.notable("store-back")
                    .with("following", name)
                    .with("failedCalls", failures)
                    .write();
            failures = 0;
        }
    }
}
