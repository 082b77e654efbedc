package org.aspenmoor.internal.admission;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The waiting requests of one team, ordered by falling weight and then by deadline, and the virtual time of the team
 * in start-time fair queuing.
 */
final class TeamQueue {
    private static final Comparator<WaitingRequest> ORDER = Comparator.comparingDouble(WaitingRequest::weight)
            .reversed()
            .thenComparingLong(WaitingRequest::deadlineNanoseconds)
            .thenComparingLong(request -> request.id().high())
            .thenComparingLong(request -> request.id().low());

    private final TreeSet<WaitingRequest> waiting = new TreeSet<>(ORDER);
    private final Map<String, Integer> counts = new TreeMap<>();
    private double virtualTime;
    private double waitingEngineSeconds;

    void add(WaitingRequest request) {
        if (waiting.add(request)) {
            waitingEngineSeconds += request.engineSeconds();
            counts.merge(request.kind(), 1, Integer::sum);
        }
    }

    boolean remove(WaitingRequest request) {
        if (!waiting.remove(request)) {
            return false;
        }
        waitingEngineSeconds = waiting.isEmpty() ? 0 : waitingEngineSeconds - request.engineSeconds();
        counts.computeIfPresent(request.kind(), (kind, count) -> count > 1 ? count - 1 : null);
        return true;
    }

    Optional<WaitingRequest> first() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
    }

    Optional<WaitingRequest> last() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.last());
    }

    double engineSecondsBefore(WaitingRequest request) {
        double before = 0;
        for (WaitingRequest earlier : waiting.headSet(request)) {
            before += earlier.engineSeconds();
        }
        return before;
    }

    Optional<WaitingRequest> find(Predicate<WaitingRequest> condition) {
        Iterator<WaitingRequest> iterator = waiting.descendingIterator();
        while (iterator.hasNext()) {
            WaitingRequest request = iterator.next();
            if (condition.test(request)) {
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    NavigableSet<WaitingRequest> waiting() {
        return waiting;
    }

    double waitingEngineSeconds() {
        return waitingEngineSeconds;
    }

    double virtualTime() {
        return virtualTime;
    }

    void raiseVirtualTimeTo(double minVirtualTime) {
        virtualTime = Math.max(virtualTime, minVirtualTime);
    }

    void addServed(double engineSeconds) {
        virtualTime += engineSeconds;
    }
}
