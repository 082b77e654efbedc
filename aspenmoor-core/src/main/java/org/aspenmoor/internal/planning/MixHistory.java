package org.aspenmoor.internal.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The observed mixes and their durations, from which the remaining duration of the present mix is estimated.
 *
 * <p>Without the history, the planner would follow every mix, even if mixes change faster than a role change pays
 * off, and engines would be unavailable most of the time. Until a mix has ended, the present mix is expected to last
 * as long again as it has lasted. This is the rule of the rent-or-buy strategy (ski rental), which never costs more
 * than twice the best choice in hindsight.
 *
 * <p>A mix whose fraction of prefill is close to that of the previous mix continues it: a slow drift is one long mix
 * with changing demand, not a series of short mixes that will recur.
 */
final class MixHistory {
    private static final int MAX_PAST_PERIODS = 8;
    private static final int CHANGE_TOLERANCE_SECONDS = 3;
    private static final double MAX_PREFILL_FRACTION_DRIFT = 0.2;
    private static final double MIN_COUNTED_SECONDS = 8;

    private final Deque<MixPeriod> pastPeriods = new ArrayDeque<>();
    private MixPeriod currentPeriod = new MixPeriod(Long.MIN_VALUE, 0, 0, List.of(), new RoleSplit(0, 0, 0));

    /** Records the present mix; if it starts much later than the previous one, the previous one has ended. */
    void observe(MixPeriod period) {
        boolean later = period.firstSecond() > currentPeriod.firstSecond() + CHANGE_TOLERANCE_SECONDS;
        if (currentPeriod.seconds() > 0 && later) {
            if (Math.abs(currentPeriod.prefillFraction() - period.prefillFraction()) <= MAX_PREFILL_FRACTION_DRIFT) {
                currentPeriod = extendCurrent(period);
                return;
            }
            double durationSeconds = period.firstSecond() - currentPeriod.firstSecond();
            pastPeriods.addLast(new MixPeriod(
                    currentPeriod.firstSecond(),
                    durationSeconds,
                    currentPeriod.countedSeconds(),
                    currentPeriod.demands(),
                    currentPeriod.bestSplit()));
        }
        while (!pastPeriods.isEmpty()
                && period.firstSecond() <= pastPeriods.getLast().firstSecond() + CHANGE_TOLERANCE_SECONDS) {
            pastPeriods.removeLast();
        }
        if (pastPeriods.size() > MAX_PAST_PERIODS) {
            pastPeriods.removeFirst();
        }
        currentPeriod = period;
    }

    /**
     * Extends the present mix; its demand is updated only after some seconds of counts, as few counts are mostly
     * noise.
     */
    private MixPeriod extendCurrent(MixPeriod period) {
        double durationSeconds = period.firstSecond() - currentPeriod.firstSecond() + period.seconds();
        MixPeriod demandSource = period.seconds() < MIN_COUNTED_SECONDS ? currentPeriod : period;
        return new MixPeriod(
                currentPeriod.firstSecond(),
                durationSeconds,
                demandSource.countedSeconds(),
                demandSource.demands(),
                demandSource.bestSplit());
    }

    MixPeriod currentPeriod() {
        return currentPeriod;
    }

    /** Returns the previous mixes, oldest first. */
    List<MixPeriod> pastPeriods() {
        return List.copyOf(pastPeriods);
    }

    /** Returns whether mixes typically last less than so many seconds. */
    boolean isTypicallyShorterThan(double seconds) {
        return pastPeriods.size() > 1 && typicalSeconds() < seconds;
    }

    /** Returns the total duration of the observed mixes. */
    double observedSeconds() {
        double observed = currentPeriod.seconds();
        for (MixPeriod period : pastPeriods) {
            observed += period.seconds();
        }
        return observed;
    }

    /** Returns the expected remaining duration of the present mix. */
    double remainingSeconds() {
        double ageSeconds = currentPeriod.seconds();
        if (pastPeriods.isEmpty()) {
            return ageSeconds;
        }
        double typical = typicalSeconds();
        return Math.max(typical - ageSeconds, Math.max(typical, ageSeconds) / 2);
    }

    /** Returns the geometric mean of the durations of the previous mixes. */
    private double typicalSeconds() {
        double logSum = 0;
        for (MixPeriod period : pastPeriods) {
            logSum += Math.log(period.seconds());
        }
        return Math.exp(logSum / pastPeriods.size());
    }
}
