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
public final class WaitingLine<T> {
    private static final double NANOSECONDS = 1e9;

    /** Weight of one more answer in what an answer usually takes: about the last twenty count. */
    private static final double LEARNING_SHARE = 0.05;

    /** Until answers are seen, in seconds: some tens of milliseconds for the prompt and the first token each. */
    private static final double FIRST_USUAL_SECONDS = 0.1;

    /** Weight of one more departure in the pace of the line: a burst brings that many within a second. */
    private static final double PACE_SHARE = 0.1;

    /**
     * A request lets others go first that came up to so many times its own computing later. Without it, the longest tenth
     * of the prompts, which takes a third of the engines' time, makes several callers late for each one that it serves;
     * with far more, the longest would never go while a burst lasts.
     */
    private static final double WORK_WEIGHT = 50;

    /** The same for requests that are late already, counted from their deadlines. */
    private static final double LATE_WORK_WEIGHT = 100;

    private final List<Waiting<T>> waiting = new ArrayList<>();
    private final DepartureRate lateDepartures = new DepartureRate();
    private double usualSeconds = FIRST_USUAL_SECONDS;
    private double secondsEach;
    private long lastDeparture = Long.MIN_VALUE;

    /** Takes a request in. */
    public void add(Waiting<T> request) {
        if (waiting.isEmpty()) {
            lastDeparture = Long.MIN_VALUE;
        }
        waiting.add(request);
    }

    /** Drops a request that waits no longer; nothing happens where it does not wait. */
    public void remove(T request) {
        waiting.removeIf(each -> each.request().equals(request));
    }

    /** Returns how many requests wait. */
    public int size() {
        return waiting.size();
    }

    /** Notes how long an answer took from its departure to its first byte. */
    public void answered(double seconds) {
        usualSeconds += LEARNING_SHARE * (seconds - usualSeconds);
    }

    /** Notes that a request that should be answered by some time left for an engine; the pace counts while others wait. */
    public void departed(long aimAt, long now) {
        if (!inTime(aimAt, now)) {
            lateDepartures.add(now);
        }
        if (waiting.isEmpty()) {
            return;
        }
        if (lastDeparture != Long.MIN_VALUE) {
            double gap = (now - lastDeparture) / NANOSECONDS;
            secondsEach += PACE_SHARE * (gap - secondsEach);
        }
        lastDeparture = now;
    }

    /** Returns who goes next and takes it out of the line. */
    public Optional<Waiting<T>> next(long now) {
        Optional<Waiting<T>> next = waiting.stream()
                .filter(each -> inTime(each.aimAt(), now))
                .min(byTime(WaitingLine::turn))
                .or(() -> waiting.stream().min(byTime(WaitingLine::lateTurn)));
        next.ifPresent(waiting::remove);
        return next;
    }

    /** Takes those out of the line that cannot be answered before their deadline at the pace of the line. */
    public List<T> takeHopeless(long now) {
        List<Waiting<T>> late = late(now);
        late.sort(byTime(WaitingLine::lateTurn));
        // At the begin of a burst no late one has left yet, and most bursts are over before their deadlines: so late
        // ones
        // may count on all departures, or on more where more of them left lately.
        double secondsEachLate = secondsEach;
        double lately = lateDepartures.perSecond(now);
        if (lately > 0) {
            secondsEachLate = Math.min(secondsEachLate, 1 / lately);
        }
        List<T> hopeless = new ArrayList<>();
        int ahead = 0;
        for (Waiting<T> each : late) {
            double needed = usualSeconds + ahead * secondsEachLate;
            if ((each.deadlineAt() - now) / NANOSECONDS < needed) {
                hopeless.add(each.request());
                waiting.remove(each);
            } else {
                ahead++;
            }
        }
        return hopeless;
    }

    /**
     * Gives up those that have no chance, and sends others on as long as there is room. Whoever is sent on and finds none
     * comes back into the line.
     *
     * @param clock the steady clock, in nanoseconds
     * @param giveUp told of each that is given up, and after how long it may come back
     * @param sendOn told of each whose turn it is
     */
    public void move(LongSupplier clock, BiConsumer<T, Duration> giveUp, Consumer<T> sendOn) {
        Duration comeBackAfter = Duration.ofNanos((long) (drainSeconds() * NANOSECONDS));
        takeHopeless(clock.getAsLong()).forEach(request -> giveUp.accept(request, comeBackAfter));
        int before = size() + 1;
        while (size() > 0 && size() < before) {
            before = size();
            next(clock.getAsLong()).ifPresent(turn -> sendOn.accept(turn.request()));
        }
    }

    /** Returns after how long the line is probably empty. */
    double drainSeconds() {
        return waiting.size() * secondsEach;
    }

    /** Returns those that will not be on time, by the pace of the line. */
    private List<Waiting<T>> late(long now) {
        List<Waiting<T>> late = new ArrayList<>();
        int ahead = 0;
        waiting.sort(byTime(WaitingLine::turn));
        for (Waiting<T> each : waiting) {
            if (inTime(each.aimAt(), now + (long) (ahead * secondsEach * NANOSECONDS))) {
                ahead++;
            } else {
                late.add(each);
            }
        }
        return late;
    }

    /** Returns the moment by which a request that can be on time is ordered among its like. */
    private static long turn(Waiting<?> each) {
        return each.arrivedAt() + (long) (WORK_WEIGHT * each.promptSeconds() * NANOSECONDS);
    }

    /** Returns the moment by which a late request is ordered among its like. */
    private static long lateTurn(Waiting<?> each) {
        return each.deadlineAt() + (long) (LATE_WORK_WEIGHT * each.promptSeconds() * NANOSECONDS);
    }

    private boolean inTime(long at, long now) {
        return (at - now) / NANOSECONDS >= usualSeconds;
    }

    private static <T> Comparator<Waiting<T>> byTime(ToLongFunction<Waiting<T>> time) {
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
    public record Waiting<T>(T request, double promptSeconds, long arrivedAt, long aimAt, long deadlineAt) {}
}
