package org.aspenmoor.internal.gateway.log;

/**
 * Writes one line when a dependency is lost and one when it is back.
 *
 * <p>While a store is away, each failed call says the same; in an incident with an outage of seconds, hundreds of such
 * lines hid what else had changed, and none said when it was over.
 */
public final class DependencyLog {
    private final DecisionLog log;
    private final String name;
    private long failures;

    /**
     * Makes a log.
     *
     * @param name what the process gets from the dependency
     */
    public DependencyLog(DecisionLog log, String name) {
        this.log = log;
        this.name = name;
    }

    /** Notes a failed call. */
    public synchronized void lost(String reason) {
        failures++;
        if (failures == 1) {
            log.notable("store-lost")
                    .with("following", name)
                    .with("reason", reason)
                    .write();
        }
    }

    /** Notes a call that went well. */
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
