package org.aspenmoor.internal.gateway.log;

/**
 * Writes one line when a dependency becomes unavailable and one when it is available again.
 *
 * <p>While the store is unavailable, every call to it fails in the same way. One line per failed call would give
 * hundreds of lines within seconds, which hide other changes and do not show when the outage ended.
 */
public final class DependencyLog {
    private final DecisionLog log;
    private final String dependency;
    private long failures;

    /**
     * Creates a log.
     *
     * @param dependency the data that this process reads from the dependency
     */
    public DependencyLog(DecisionLog log, String dependency) {
        this.log = log;
        this.dependency = dependency;
    }

    /** Records a failed call. */
    public synchronized void lost(String reason) {
        failures++;
        if (failures == 1) {
            log.notable("store-lost")
                    .with("following", dependency)
                    .with("reason", reason)
                    .write();
        }
    }

    /** Records a successful call. */
    public synchronized void restored() {
        if (failures > 0) {
            log.notable("store-back")
                    .with("following", dependency)
                    .with("failedCalls", failures)
                    .write();
            failures = 0;
        }
    }
}
