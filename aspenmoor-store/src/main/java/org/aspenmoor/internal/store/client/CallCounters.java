package org.aspenmoor.internal.store.client;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;

/** Counts the store calls of the process. */
final class CallCounters {
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder watchesOpened = new LongAdder();
    private final AtomicInteger openWatches = new AtomicInteger();
    private final LongAdder conflicts = new LongAdder();
    private final LongAdder unavailable = new LongAdder();
    private final LongAdder unknownOutcomes = new LongAdder();
    private final LongAdder overBudget = new LongAdder();

    void readSent() {
        reads.increment();
    }

    void writeSent() {
        writes.increment();
    }

    void watchOpened() {
        watchesOpened.increment();
        openWatches.incrementAndGet();
    }

    void watchEnded() {
        openWatches.decrementAndGet();
    }

    void recordFailure(StoreException failure) {
        switch (failure) {
            case StoreConflictException conflict -> conflicts.increment();
            case StoreUnavailableException unreachable -> unavailable.increment();
            case StoreOutcomeUnknownException outcomeUnknown -> unknownOutcomes.increment();
            case StoreBudgetException budgetUsedUp -> overBudget.increment();
            case StoreMalformedException malformed -> {
                // Not counted: this is an error in the data, which is logged.
            }
        }
    }

    CallCounts counts() {
        return new CallCounts(
                reads.sum(),
                writes.sum(),
                watchesOpened.sum(),
                openWatches.get(),
                conflicts.sum(),
                unavailable.sum(),
                unknownOutcomes.sum(),
                overBudget.sum());
    }
}
