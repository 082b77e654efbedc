package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * How the load of one day runs.
 *
 * @param name its name
 * @param lengthSeconds its length
 * @param loadFactor how many times the usual number of requests come
 * @param changes when kinds come more or less often
 * @param outages when engines are gone
 */
public record LoadDay(
        String name, double lengthSeconds, double loadFactor, List<LoadChange> changes, List<EngineOutage> outages) {
    /** Returns the same day with so many times the load. */
    public LoadDay scaledBy(double factor) {
        return new LoadDay(name, lengthSeconds, loadFactor * factor, changes, outages);
    }

    /** Returns how many requests of a kind come a second at a moment. */
    public double requestsPerSecond(RequestProfile kind, double second) {
        double rate = kind.requestsPerSecond() * loadFactor;
        for (LoadChange change : changes) {
            rate *= change.factorAt(kind.name(), second);
        }
        return rate;
    }
}
