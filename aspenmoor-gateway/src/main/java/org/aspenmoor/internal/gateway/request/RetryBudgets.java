package org.aspenmoor.internal.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.aspenmoor.internal.gateway.settings.RetrySettings;
import org.aspenmoor.internal.serving.RetryAllowance;
import org.aspenmoor.internal.time.TimeSource;

/** This entry's parts of the retry budgets of all services. Confined to the event loop. */
final class RetryBudgets {
    private final TimeSource time;
    private final IntSupplier entries;
    private final Map<String, RetryAllowance> allowances = new HashMap<>();
    private RetrySettings settings;
    private long countedSince;

    /**
     * Creates the budgets of a process that has just started.
     *
     * @param entries returns how many entries share the budgets
     */
    RetryBudgets(TimeSource time, RetrySettings settings, IntSupplier entries) {
        this.time = time;
        this.settings = settings;
        this.entries = entries;
        this.countedSince = time.monotonicNanos();
    }

    /** Applies changed settings. */
    void reload(RetrySettings newSettings) {
        if (!newSettings.equals(settings)) {
            settings = newSettings;
            allowances.clear();
            countedSince = time.monotonicNanos();
        }
    }

    /** Returns how many entries are assumed to share the budgets while no other entry is known. */
    int assumedEntries() {
        return settings.assumedEntries();
    }

    /** Records a request for a service, which adds a fraction of a retry to the service's budget. */
    void recordRequest(String service) {
        allowance(service).recordRequest();
    }

    /** Takes a retry from the service's budget; returns whether the budget allowed it. */
    boolean tryTakeRetry(String service) {
        return allowance(service).tryTakeRetry(entries.getAsInt());
    }

    /** Takes a retry for a request that might succeed without it; returns whether the budget allowed it. */
    boolean tryTakeOptionalRetry(String service) {
        return allowance(service).tryTakeOptionalRetry(entries.getAsInt());
    }

    private RetryAllowance allowance(String service) {
        return allowances.computeIfAbsent(
                service,
                name -> new RetryAllowance(time, settings.ratio(), settings.slack(), settings.window(), countedSince));
    }
}
