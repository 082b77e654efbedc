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
 * The waiting requests of one team, ordered by falling weight and then by deadline, and the virtual time of the team in
 * start-time fair queuing.
 */
final class TeamQueue {
    private static final Comparator<WaitingWork> ORDER = Comparator.comparingDouble(WaitingWork::weight)
            .reversed()
            .thenComparingLong(WaitingWork::deadlineNanoseconds)
            .thenComparingLong(work -> work.id().high())
            .thenComparingLong(work -> work.id().low());

    private final TreeSet<WaitingWork> waiting = new TreeSet<>(ORDER);
    private final Map<String, Integer> counts = new TreeMap<>();
    private double virtualTime;
    private double waitingEngineSeconds;

    void add(WaitingWork work) {
        if (waiting.add(work)) {
            waitingEngineSeconds += work.engineSeconds();
            counts.merge(work.kind(), 1, Integer::sum);
        }
    }

    boolean remove(WaitingWork work) {
        if (!waiting.remove(work)) {
            return false;
        }
        waitingEngineSeconds = waiting.isEmpty() ? 0 : waitingEngineSeconds - work.engineSeconds();
        counts.computeIfPresent(work.kind(), (kind, count) -> count > 1 ? count - 1 : null);
        return true;
    }

    Optional<WaitingWork> first() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
    }

    Optional<WaitingWork> last() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.last());
    }

    double engineSecondsBefore(WaitingWork work) {
        double before = 0;
        for (WaitingWork earlier : waiting.headSet(work)) {
            before += earlier.engineSeconds();
        }
        return before;
    }

    Optional<WaitingWork> find(Predicate<WaitingWork> condition) {
        Iterator<WaitingWork> iterator = waiting.descendingIterator();
        while (iterator.hasNext()) {
            WaitingWork work = iterator.next();
            if (condition.test(work)) {
                return Optional.of(work);
            }
        }
        return Optional.empty();
    }

    NavigableSet<WaitingWork> waiting() {
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
