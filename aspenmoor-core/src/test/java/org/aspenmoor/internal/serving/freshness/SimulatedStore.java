package org.aspenmoor.internal.serving.freshness;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** A store whose collections are version numbers, with the time at which it accepted each. */
final class SimulatedStore {
    private final Map<ObservedCollection, List<Long>> acceptedAt = new EnumMap<>(ObservedCollection.class);
    private final Map<ObservedCollection, List<Runnable>> waiting = new EnumMap<>(ObservedCollection.class);
    private boolean down;
    private long calls;

    SimulatedStore() {
        for (ObservedCollection collection : ObservedCollection.values()) {
            acceptedAt.put(collection, new ArrayList<>(List.of(0L)));
            waiting.put(collection, new ArrayList<>());
        }
    }

    boolean down() {
        return down;
    }

    void setDown(boolean nowDown) {
        down = nowDown;
    }

    void called() {
        calls++;
    }

    long calls() {
        return calls;
    }

    int version(ObservedCollection collection) {
        return acceptedAt.get(collection).size() - 1;
    }

    /** Returns when the version after the given one was accepted, or {@code now} if there is none. */
    long changedAt(ObservedCollection collection, int version, long now) {
        return version < version(collection) ? acceptedAt.get(collection).get(version + 1) : now;
    }

    void change(ObservedCollection collection, long now) {
        acceptedAt.get(collection).add(now);
        List<Runnable> answered = List.copyOf(waiting.get(collection));
        waiting.get(collection).clear();
        answered.forEach(Runnable::run);
    }

    void awaitChange(ObservedCollection collection, Runnable answer) {
        waiting.get(collection).add(answer);
    }
}
