package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * How the load of one day runs.
 *
 * @param name its name
 * @param seconds its length
 * @param load how many times the usual number of requests come
 * @param changes when kinds come more or less often
 * @param losses when engines are gone
 */
public record LoadDay(String name, double seconds, double load, List<LoadChange> changes, List<EngineLoss> losses) {
    /** Returns the same day with so many times the load. */
    public LoadDay times(double factor) {
        return new LoadDay(name, seconds, load * factor, changes, losses);
    }

    /** Returns how many requests of a kind come a second at a moment. */
    public double perSecond(ServedKind kind, double second) {
        double rate = kind.perSecond() * load;
        for (LoadChange change : changes) {
            rate *= change.at(kind.name(), second);
        }
        return rate;
    }
}
