package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * The requests of one service that wait at this entry because no engine has room. Decides which request is dispatched
 * next and which are refused at once because they cannot be served. Times are in nanoseconds of the monotonic clock
 * unless the name states seconds.
 *
 * <p>For some seconds, one and a half to three times as many prompts may arrive as engines can compute. In
 * first-come-first-served order all of them would be slightly late, and so would those of the following seconds.
 * Instead, requests that can be on time are dispatched first and the others when there is room left. Within each group,
 * short prompts precede long ones that arrived slightly earlier, so that more callers are served. A request that cannot
 * be served in time at the current dispatch rate is refused at once, and its caller may retry when the burst is over.
 *
 * <p>Requests of organisations that demand more than their share let those of the others pass, as long as none of them
 * misses a deadline by that.
 *
 * @param <T> a request
 */
public final class WaitQueue<T> {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Weight of a new answer in the typical answer time; about the last twenty count. */
    private static final double ANSWER_TIME_WEIGHT = 0.05;

    /**
     * Typical answer time assumed until answers have been measured, in seconds: some tens of milliseconds each for the
     * prompt and the first token.
     */
    private static final double INITIAL_ANSWER_SECONDS = 0.1;

    /**
     * Weight of a new dispatch in the dispatch interval; about the last ten count, as many as a burst brings within a
     * second.
     */
    private static final double DISPATCH_INTERVAL_WEIGHT = 0.1;

    /**
     * Seconds by which a request is ranked as if it had arrived later, per second that an engine computes its prompt.
     * Without this weight, the longest tenth of the prompts, which takes a third of the engines' time, makes several
     * callers late for each one that it serves; with a far higher weight, the longest prompts would never be dispatched
     * during a burst.
     */
    private static final double WORK_WEIGHT = 50;

    /**
     * Corresponds to {@link #WORK_WEIGHT} for requests that are already late, which are ordered by their deadlines
     * instead of their arrival.
     */
    private static final double LATE_WORK_WEIGHT = 100;

    private final List<QueuedRequest<T>> queued = new ArrayList<>();
    private final DispatchRate lateDispatches = new DispatchRate();
    private double typicalAnswerSeconds = INITIAL_ANSWER_SECONDS;
    private double dispatchIntervalSeconds;
    private long lastDispatchAt = Long.MIN_VALUE;

    /** Adds a request to the queue. */
    public void add(QueuedRequest<T> request) {
        if (queued.isEmpty()) {
            lastDispatchAt = Long.MIN_VALUE;
        }
        queued.add(request);
    }

    /** Removes a request; does nothing if it is not queued. */
    public void remove(T request) {
        queued.removeIf(each -> each.request().equals(request));
    }

    public int size() {
        return queued.size();
    }

    /** Records how long an answer took from dispatch to its first byte. */
    public void answerStarted(double answerSeconds) {
        typicalAnswerSeconds += ANSWER_TIME_WEIGHT * (answerSeconds - typicalAnswerSeconds);
    }

    /**
     * Records that a request was dispatched to an engine. The dispatch interval is only measured while other requests
     * wait.
     *
     * @param objectiveDeadline when its answer has to start to be on time
     */
    public void dispatched(long objectiveDeadline, long now) {
        if (!canBeOnTime(objectiveDeadline, now)) {
            lateDispatches.add(now);
        }
        if (queued.isEmpty()) {
            return;
        }
        if (lastDispatchAt != Long.MIN_VALUE) {
            double intervalSeconds = (now - lastDispatchAt) / NANOSECONDS_PER_SECOND;
            dispatchIntervalSeconds += DISPATCH_INTERVAL_WEIGHT * (intervalSeconds - dispatchIntervalSeconds);
        }
        lastDispatchAt = now;
    }

    /** Removes and returns the request to be dispatched next. */
    public Optional<QueuedRequest<T>> takeNext(long now) {
        List<QueuedRequest<T>> punctual = queued.stream()
                .filter(each -> canBeOnTime(each.objectiveDeadline(), now))
                .sorted(bySortKey(WaitQueue::rank))
                .toList();
        Optional<QueuedRequest<T>> next = punctual.isEmpty()
                ? queued.stream().min(bySortKey(WaitQueue::lateRank))
                : Optional.of(firstWithinAllowance(punctual, now));
        next.ifPresent(queued::remove);
        return next;
    }

    /**
     * Returns the first request of an organisation within its allowance. Returns the very first one if there is none or
     * if a request that is overtaken would then be late.
     */
    private QueuedRequest<T> firstWithinAllowance(List<QueuedRequest<T>> ordered, long now) {
        List<QueuedRequest<T>> onTime = onTimeInOrder(ordered, now);
        Optional<QueuedRequest<T>> preferred =
                onTime.stream().filter(QueuedRequest::withinAllowance).findFirst();
        if (preferred.isEmpty()) {
            return ordered.getFirst();
        }
        List<QueuedRequest<T>> moved = new ArrayList<>(onTime);
        moved.remove(preferred.get());
        moved.addFirst(preferred.get());
        boolean allOnTime = onTimeInOrder(moved, now).size() == onTime.size();
        return allOnTime ? preferred.get() : ordered.getFirst();
    }

    /** Returns the requests that are on time if they are dispatched in the given order at the current rate. */
    private List<QueuedRequest<T>> onTimeInOrder(List<QueuedRequest<T>> ordered, long now) {
        List<QueuedRequest<T>> onTime = new ArrayList<>();
        for (QueuedRequest<T> each : ordered) {
            if (canBeOnTime(each.objectiveDeadline(), startsAt(onTime.size(), now))) {
                onTime.add(each);
            }
        }
        return onTime;
    }

    /** Returns when a request is dispatched that has so many others before it. */
    private long startsAt(int ahead, long now) {
        return now + (long) (ahead * dispatchIntervalSeconds * NANOSECONDS_PER_SECOND);
    }

    /** Removes and returns the requests that cannot be answered before their deadline at the current dispatch rate. */
    public List<T> takeUnservable(long now) {
        List<QueuedRequest<T>> late = lateRequests(now);
        late.sort(bySortKey(WaitQueue::lateRank));
        // At the start of a burst no late request has been dispatched yet, and most bursts end before the deadlines of
        // late requests. So the estimate uses the overall dispatch rate, or the recent rate of late dispatches if that
        // is higher.
        double lateIntervalSeconds = dispatchIntervalSeconds;
        double lateDispatchesPerSecond = lateDispatches.perSecond(now);
        if (lateDispatchesPerSecond > 0) {
            lateIntervalSeconds = Math.min(lateIntervalSeconds, 1 / lateDispatchesPerSecond);
        }
        List<T> unservable = new ArrayList<>();
        int ahead = 0;
        for (QueuedRequest<T> each : late) {
            double neededSeconds = typicalAnswerSeconds + ahead * lateIntervalSeconds;
            if ((each.deadline() - now) / NANOSECONDS_PER_SECOND < neededSeconds) {
                unservable.add(each.request());
                queued.remove(each);
            } else {
                ahead++;
            }
        }
        return unservable;
    }

    /**
     * Refuses the requests that cannot be served and dispatches others as long as there is room. A dispatched request
     * that finds no room has to be added again.
     *
     * @param clock the monotonic clock, in nanoseconds
     * @param refuse called with each refused request and the time after which it may be retried
     * @param dispatch called with each request that is dispatched
     */
    public void dispatchAndRefuse(LongSupplier clock, BiConsumer<T, Duration> refuse, Consumer<T> dispatch) {
        Duration retryAfter = Duration.ofNanos((long) (drainSeconds() * NANOSECONDS_PER_SECOND));
        takeUnservable(clock.getAsLong()).forEach(request -> refuse.accept(request, retryAfter));
        int previousSize = size() + 1;
        while (size() > 0 && size() < previousSize) {
            previousSize = size();
            takeNext(clock.getAsLong()).ifPresent(next -> dispatch.accept(next.request()));
        }
    }

    /** Returns the expected time until the queue is empty, in seconds. */
    double drainSeconds() {
        return queued.size() * dispatchIntervalSeconds;
    }

    /** Returns the requests that will not be on time at the current dispatch rate. */
    private List<QueuedRequest<T>> lateRequests(long now) {
        List<QueuedRequest<T>> late = new ArrayList<>();
        int ahead = 0;
        queued.sort(bySortKey(WaitQueue::rank));
        for (QueuedRequest<T> each : queued) {
            if (canBeOnTime(each.objectiveDeadline(), startsAt(ahead, now))) {
                ahead++;
            } else {
                late.add(each);
            }
        }
        return late;
    }

    /** Returns the sort key of a request that can be on time, in nanoseconds; the lowest is dispatched first. */
    private static long rank(QueuedRequest<?> each) {
        return each.arrivedAt() + (long) (WORK_WEIGHT * each.promptSeconds() * NANOSECONDS_PER_SECOND);
    }

    /** Returns the sort key of a late request, in nanoseconds; the lowest is dispatched first. */
    private static long lateRank(QueuedRequest<?> each) {
        return each.deadline() + (long) (LATE_WORK_WEIGHT * each.promptSeconds() * NANOSECONDS_PER_SECOND);
    }

    private boolean canBeOnTime(long deadline, long now) {
        return (deadline - now) / NANOSECONDS_PER_SECOND >= typicalAnswerSeconds;
    }

    private static <T> Comparator<QueuedRequest<T>> bySortKey(ToLongFunction<QueuedRequest<T>> sortKey) {
        return Comparator.comparingLong(sortKey);
    }

    /**
     * A queued request; times are in nanoseconds of the monotonic clock.
     *
     * @param request the request
     * @param promptSeconds how long an engine computes its prompt
     * @param arrivedAt when it arrived
     * @param objectiveDeadline when its answer has to start to be on time
     * @param deadline when its answer has to start at the latest
     * @param withinAllowance whether its organisation demanded no more than its share when it was admitted
     */
    public record QueuedRequest<T>(
            T request,
            double promptSeconds,
            long arrivedAt,
            long objectiveDeadline,
            long deadline,
            boolean withinAllowance) {
        /** Creates a request of an organisation within its allowance, or of none. */
        public QueuedRequest(T request, double promptSeconds, long arrivedAt, long objectiveDeadline, long deadline) {
            this(request, promptSeconds, arrivedAt, objectiveDeadline, deadline, true);
        }
    }
}
