package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * The load of one day.
 *
 * @param name name of the day
 * @param lengthSeconds length of the replayed day
 * @param loadFactor factor on the mean arrival rates of all kinds
 * @param changes periods with a different arrival rate of a kind
 * @param outages periods in which engines are down
 * @param storeOutages periods in which an entry cannot reach the store
 */
public record LoadDay(
        String name,
        double lengthSeconds,
        double loadFactor,
        List<LoadChange> changes,
        List<EngineOutage> outages,
        List<StoreOutage> storeOutages) {
    /** Returns a copy with the load multiplied by a factor. */
    public LoadDay scaledBy(double factor) {
        return new LoadDay(name, lengthSeconds, loadFactor * factor, changes, outages, storeOutages);
    }

    /** Returns the arrival rate of a request kind at a given second of the day. */
    public double requestsPerSecond(RequestProfile kind, double second) {
        double rate = kind.requestsPerSecond() * loadFactor;
        for (LoadChange change : changes) {
            rate *= change.factorAt(kind.name(), second);
        }
        return rate;
    }
}
