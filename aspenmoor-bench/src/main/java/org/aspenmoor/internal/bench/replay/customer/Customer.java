package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * One customer's deployment.
 *
 * @param name its name
 * @param entries how many entries take requests
 * @param dataCentres over how many data centres entries and engines are spread
 * @param engines its engines
 * @param kinds what its callers ask for
 * @param days the loads to replay
 */
public record Customer(
        String name,
        int entries,
        int dataCentres,
        EngineProfile engines,
        List<RequestProfile> kinds,
        List<LoadDay> days) {
    /** Returns the same customer with another number of entries and engines that work so many times as fast. */
    public Customer withEntriesAndEngineSpeed(int newEntries, double engineSpeedFactor) {
        return new Customer(name, newEntries, dataCentres, engines.withSpeedFactor(engineSpeedFactor), kinds, days);
    }

    /** Returns the same customer with engines that differ in speed: by engine in turn, how many times longer one takes. */
    public Customer withEngineSlowdowns(List<Double> slowdowns) {
        return new Customer(name, entries, dataCentres, engines.withSlowdowns(slowdowns), kinds, days);
    }
}
