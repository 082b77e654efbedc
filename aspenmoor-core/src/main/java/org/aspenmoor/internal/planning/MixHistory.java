package org.aspenmoor.internal.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The mixes seen so far and how long they lasted; says how long the present one will probably last.
 *
 * <p>A mix that swings faster than a change pays would otherwise be chased for ever; one would notice engines that are
 * away most of the time. Where nothing was learnt yet, a mix is expected to last as long again as it has lasted, the
 * rule by which the classical rent-or-buy strategy never costs more than twice the best choice in hindsight.
 *
 * <p>A mix whose share of prefill is close to the one before continues it: a slow drift is one long mix whose demand moves,
 * not a row of short ones that will come back.
 */
final class MixHistory {
    private static final int MAX_PAST_PERIODS = 8;
    private static final int CHANGE_TOLERANCE_SECONDS = 3;
    private static final double MAX_PREFILL_FRACTION_DRIFT = 0.2;
    private static final double MIN_COUNTED_SECONDS = 8;

    private final Deque<MixPeriod> pastPeriods = new ArrayDeque<>();
    private MixPeriod currentPeriod = new MixPeriod(Long.MIN_VALUE, 0, 0, List.of(), new RoleSplit(0, 0, 0));

    /** Notes the present mix; a much later first second than before means that the one before has ended. */
    void observe(MixPeriod period) {
        boolean later = period.firstSecond() > currentPeriod.firstSecond() + CHANGE_TOLERANCE_SECONDS;
        if (currentPeriod.seconds() > 0 && later) {
            if (Math.abs(currentPeriod.prefillFraction() - period.prefillFraction()) <= MAX_PREFILL_FRACTION_DRIFT) {
                currentPeriod = extendCurrent(period);
                return;
            }
            double durationSeconds = period.firstSecond() - currentPeriod.firstSecond();
            pastPeriods.addLast(new MixPeriod(
                    currentPeriod.firstSecond(), durationSeconds, currentPeriod.countedSeconds(), currentPeriod.demands(), currentPeriod.bestSplit()));
        }
        while (!pastPeriods.isEmpty() && period.firstSecond() <= pastPeriods.getLast().firstSecond() + CHANGE_TOLERANCE_SECONDS) {
            pastPeriods.removeLast();
        }
        if (pastPeriods.size() > MAX_PAST_PERIODS) {
            pastPeriods.removeFirst();
        }
        currentPeriod = period;
    }

    /** The demand of a mix that goes on moves only once it was counted for some seconds: few counts are mostly noise. */
    private MixPeriod extendCurrent(MixPeriod period) {
        double durationSeconds = period.firstSecond() - currentPeriod.firstSecond() + period.seconds();
        MixPeriod demandSource = period.seconds() < MIN_COUNTED_SECONDS ? currentPeriod : period;
        return new MixPeriod(currentPeriod.firstSecond(), durationSeconds, demandSource.countedSeconds(), demandSource.demands(), demandSource.bestSplit());
    }

    MixPeriod currentPeriod() {
        return currentPeriod;
    }

    /** Returns the mixes before the present one, oldest first. */
    List<MixPeriod> pastPeriods() {
        return List.copyOf(pastPeriods);
    }

    /** Says whether mixes usually end before so many seconds. */
    boolean isTypicallyShorterThan(double seconds) {
        return pastPeriods.size() > 1 && typicalSeconds() < seconds;
    }

    /** Returns over how many seconds mixes have been seen. */
    double observedSeconds() {
        double observed = currentPeriod.seconds();
        for (MixPeriod period : pastPeriods) {
            observed += period.seconds();
        }
        return observed;
    }

    /** Returns how many seconds the present mix will probably last on. */
    double remainingSeconds() {
        double ageSeconds = currentPeriod.seconds();
        if (pastPeriods.isEmpty()) {
            return ageSeconds;
        }
        double typical = typicalSeconds();
        return Math.max(typical - ageSeconds, Math.max(typical, ageSeconds) / 2);
    }

    private double typicalSeconds() {
        double logSum = 0;
        for (MixPeriod period : pastPeriods) {
            logSum += Math.log(period.seconds());
        }
        return Math.exp(logSum / pastPeriods.size());
    }
}
