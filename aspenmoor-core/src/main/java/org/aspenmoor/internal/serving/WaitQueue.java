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
 * The requests of one service that wait at this entry because no engine has room: who of them goes next, and who is told
 * at once that it will not be served.
 *
 * <p>The load it answers: for some seconds, one and a half to three times as many prompts come as engines can compute.
 * First come first served makes all of them late by a little, and those of the seconds after as well. Here as many as can
 * be on time go first, the others whenever there is room left; among either, short prompts go before long ones that came
 * a little earlier, so that more callers are served. Who has no chance by the line's own pace is refused at once, and may
 * come back when the burst is over.
 *
 * @param <T> a request
 */
public final class WaitQueue<T> {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Weight of one more answer in what an answer usually takes: about the last twenty count. */
    private static final double ANSWER_TIME_WEIGHT = 0.05;

    /** Until answers are seen, in seconds: some tens of milliseconds for the prompt and the first token each. */
    private static final double INITIAL_ANSWER_SECONDS = 0.1;

    /** Weight of one more departure in the pace of the line: a burst brings that many within a second. */
    private static final double DISPATCH_INTERVAL_WEIGHT = 0.1;

    /**
     * A request lets others go first that came up to so many times its own computing later. Without it, the longest tenth
     * of the prompts, which takes a third of the engines' time, makes several callers late for each one that it serves;
     * with far more, the longest would never go while a burst lasts.
     */
    private static final double WORK_WEIGHT = 50;

    /** The same for requests that are late already, counted from their deadlines. */
    private static final double LATE_WORK_WEIGHT = 100;

    private final List<QueuedRequest<T>> queued = new ArrayList<>();
    private final DispatchRate lateDispatches = new DispatchRate();
    private double typicalAnswerSeconds = INITIAL_ANSWER_SECONDS;
    private double dispatchIntervalSeconds;
    private long lastDispatchAt = Long.MIN_VALUE;

    /** Takes a request in. */
    public void add(QueuedRequest<T> request) {
        if (queued.isEmpty()) {
            lastDispatchAt = Long.MIN_VALUE;
        }
        queued.add(request);
    }

    /** Drops a request that waits no longer; nothing happens where it does not wait. */
    public void remove(T request) {
        queued.removeIf(each -> each.request().equals(request));
    }

    /** Returns how many requests wait. */
    public int size() {
        return queued.size();
    }

    /** Notes how long an answer took from its departure to its first byte. */
    public void answerStarted(double answerSeconds) {
        typicalAnswerSeconds += ANSWER_TIME_WEIGHT * (answerSeconds - typicalAnswerSeconds);
    }

    /** Notes that a request that should be answered by some time left for an engine; the pace counts while others wait. */
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

    /** Returns who goes next and takes it out of the line. */
    public Optional<QueuedRequest<T>> takeNext(long now) {
        Optional<QueuedRequest<T>> next = queued.stream()
                .filter(each -> canBeOnTime(each.objectiveDeadline(), now))
                .min(byTime(WaitQueue::rank))
                .or(() -> queued.stream().min(byTime(WaitQueue::lateRank)));
        next.ifPresent(queued::remove);
        return next;
    }

    /** Takes those out of the line that cannot be answered before their deadline at the pace of the line. */
    public List<T> takeUnservable(long now) {
        List<QueuedRequest<T>> late = lateRequests(now);
        late.sort(byTime(WaitQueue::lateRank));
        // At the begin of a burst no late one has left yet, and most bursts are over before their deadlines: so late
        // ones
        // may count on all departures, or on more where more of them left lately.
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
     * Gives up those that have no chance, and sends others on as long as there is room. Whoever is sent on and finds none
     * comes back into the line.
     *
     * @param clock the steady clock, in nanoseconds
     * @param giveUp told of each that is given up, and after how long it may come back
     * @param sendOn told of each whose turn it is
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

    /** Returns after how long the line is probably empty. */
    double drainSeconds() {
        return queued.size() * dispatchIntervalSeconds;
    }

    /** Returns those that will not be on time, by the pace of the line. */
    private List<QueuedRequest<T>> lateRequests(long now) {
        List<QueuedRequest<T>> late = new ArrayList<>();
        int ahead = 0;
        queued.sort(byTime(WaitQueue::rank));
        for (QueuedRequest<T> each : queued) {
            if (canBeOnTime(each.objectiveDeadline(), now + (long) (ahead * dispatchIntervalSeconds * NANOSECONDS_PER_SECOND))) {
                ahead++;
            } else {
                late.add(each);
            }
        }
        return late;
    }

    /** Returns the moment by which a request that can be on time is ordered among its like. */
    private static long rank(QueuedRequest<?> each) {
        return each.arrivedAt() + (long) (WORK_WEIGHT * each.promptSeconds() * NANOSECONDS_PER_SECOND);
    }

    /** Returns the moment by which a late request is ordered among its like. */
    private static long lateRank(QueuedRequest<?> each) {
        return each.deadline() + (long) (LATE_WORK_WEIGHT * each.promptSeconds() * NANOSECONDS_PER_SECOND);
    }

    private boolean canBeOnTime(long deadline, long now) {
        return (deadline - now) / NANOSECONDS_PER_SECOND >= typicalAnswerSeconds;
    }

    private static <T> Comparator<QueuedRequest<T>> byTime(ToLongFunction<QueuedRequest<T>> time) {
        return Comparator.comparingLong(time);
    }

    /**
     * One request that waits; times are in nanoseconds of the steady clock.
     *
     * @param request the request
     * @param promptSeconds how long an engine computes its prompt
     * @param arrivedAt when it came
     * @param aimAt until when its answer must begin to be on time
     * @param deadlineAt until when its answer must begin at all
     */
    public record QueuedRequest<T>(T request, double promptSeconds, long arrivedAt, long objectiveDeadline, long deadline) {}
}
