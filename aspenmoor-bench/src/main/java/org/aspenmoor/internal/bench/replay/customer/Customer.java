package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * A customer's deployment: entries, engines, request kinds and the loads to replay.
 *
 * @param name name of the customer
 * @param entries number of entries that take requests
 * @param dataCentres number of data centres that entries and engines are distributed over, in turn
 * @param engines number and performance of its engines
 * @param kinds request kinds that its callers send
 * @param days days whose load can be replayed
 */
public record Customer(
        String name,
        int entries,
        int dataCentres,
        EngineProfile engines,
        List<RequestProfile> kinds,
        List<LoadDay> days) {
    /** Returns a copy with another number of entries and with the speed of the engines multiplied by a factor. */
    public Customer withEntriesAndEngineSpeed(int newEntries, double engineSpeedFactor) {
        return new Customer(name, newEntries, dataCentres, engines.withSpeedFactor(engineSpeedFactor), kinds, days);
    }

    /** Returns a copy with engines of different speed; the slowdown factors are assigned to the engines in turn. */
    public Customer withEngineSlowdowns(List<Double> slowdowns) {
        return new Customer(name, entries, dataCentres, engines.withSlowdowns(slowdowns), kinds, days);
    }
}
