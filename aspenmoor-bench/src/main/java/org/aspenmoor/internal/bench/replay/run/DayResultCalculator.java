package org.aspenmoor.internal.bench.replay.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Calculates the result of a day from the results of its callers. Callers without a result are left out. */
final class DayResultCalculator {
    /**
     * Part of the value of a request that does not depend on its size, as a fraction of the mean of its kind; the rest
     * is proportional to the size.
     */
    private static final double FIXED_VALUE_FRACTION = 0.3;

    private static final double MAX_RELATIVE_VALUE = 4;
    private static final double MIN_UNSERVED_FRACTION = 0.001;
    private static final int WINDOW_SECONDS = 3;
    private static final int WORST_WINDOW_COUNT = 2;

    /** Windows with fewer callers are ignored because their fraction is not meaningful. */
    private static final int MIN_WINDOW_CALLERS = 10;

    private static final int LARGEST_PERCENT = 10;
    private static final int LARGE_PERCENT = 30;
    private static final double NANOSECONDS = 1e9;

    private final List<CallerTracker> callers;
    private final Map<String, Double> meanSizes;

    DayResultCalculator(List<CallerTracker> callers) {
        this.callers = callers.stream()
                .filter(caller -> caller.result() != CallerResult.OPEN)
                .toList();
        this.meanSizes = this.callers.stream()
                .collect(Collectors.groupingBy(
                        DayResultCalculator::kind,
                        Collectors.averagingDouble(caller -> caller.request().size())));
    }

    DayResult calculate(String day, long seed, List<DayPoint> samples) {
        double servedFraction = fraction(callers, CallerTracker::served);
        double availabilityScore = Math.min(
                1, Math.log(Math.max(MIN_UNSERVED_FRACTION, 1 - servedFraction)) / Math.log(MIN_UNSERVED_FRACTION));
        List<KindResult> kinds = new ArrayList<>();
        groupByKind().forEach((name, group) -> kinds.add(kindResult(name, group)));
        return new DayResult(
                day,
                seed,
                earnedFraction(callers),
                servedFraction,
                availabilityScore,
                worstWindowsFraction(),
                worstKindFraction(),
                medianRefusalSeconds(),
                kinds,
                points(samples));
    }

    private static String kind(CallerTracker caller) {
        return caller.request().kind().name();
    }

    private Map<String, List<CallerTracker>> groupByKind() {
        return callers.stream()
                .collect(Collectors.groupingBy(DayResultCalculator::kind, TreeMap::new, Collectors.toList()));
    }

    private double possibleValue(CallerTracker caller) {
        double relativeSize = caller.request().size() / meanSizes.get(kind(caller));
        return caller.request().kind().value()
                * Math.min(MAX_RELATIVE_VALUE, FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * relativeSize);
    }

    private double earnedFraction(List<CallerTracker> group) {
        double possible = group.stream().mapToDouble(this::possibleValue).sum();
        double earned = group.stream()
                .mapToDouble(caller -> possibleValue(caller) * caller.earnedFraction())
                .sum();
        return possible == 0 ? 1 : earned / possible;
    }

    private static double fraction(List<CallerTracker> group, Predicate<CallerTracker> condition) {
        return group.isEmpty() ? 1 : (double) group.stream().filter(condition).count() / group.size();
    }

    private KindResult kindResult(String name, List<CallerTracker> group) {
        return new KindResult(
                name,
                group.size(),
                earnedFraction(group),
                fraction(group, CallerTracker::onTime),
                fraction(group, CallerTracker::served),
                fraction(group, caller -> caller.result() == CallerResult.REFUSED),
                fraction(group, caller -> caller.result() == CallerResult.FAILED),
                fraction(largest(group, 0, LARGEST_PERCENT), CallerTracker::served));
    }

    /** Returns the callers between two percentages of the order by request size, largest first. */
    private static List<CallerTracker> largest(List<CallerTracker> group, int fromPercent, int toPercent) {
        List<CallerTracker> sorted = group.stream()
                .sorted(Comparator.comparingDouble(
                                (CallerTracker caller) -> caller.request().size())
                        .reversed())
                .toList();
        return sorted.subList(sorted.size() * fromPercent / 100, sorted.size() * toPercent / 100);
    }

    private double worstKindFraction() {
        double worst = 1;
        for (List<CallerTracker> group : groupByKind().values()) {
            worst = Math.min(worst, earnedFraction(group));
            worst = Math.min(worst, earnedFraction(largest(group, 0, LARGEST_PERCENT)));
            worst = Math.min(worst, earnedFraction(largest(group, LARGEST_PERCENT, LARGE_PERCENT)));
        }
        return worst;
    }

    private double worstWindowsFraction() {
        Map<Integer, List<CallerTracker>> windows = groupBy(caller -> arrivalSecond(caller) / WINDOW_SECONDS);
        return windows.values().stream()
                .filter(group -> group.size() >= MIN_WINDOW_CALLERS)
                .mapToDouble(this::earnedFraction)
                .sorted()
                .limit(WORST_WINDOW_COUNT)
                .average()
                .orElse(1);
    }

    private double medianRefusalSeconds() {
        double[] sorted = callers.stream()
                .filter(caller -> caller.result() == CallerResult.REFUSED)
                .mapToDouble(CallerTracker::refusedAfterSeconds)
                .sorted()
                .toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    private List<DayPoint> points(List<DayPoint> samples) {
        Map<Integer, List<CallerTracker>> callersBySecond = groupBy(DayResultCalculator::arrivalSecond);
        List<DayPoint> points = new ArrayList<>();
        for (DayPoint sample : samples) {
            List<CallerTracker> group = callersBySecond.getOrDefault(sample.second(), List.of());
            points.add(new DayPoint(
                    sample.second(),
                    group.size(),
                    earnedFraction(group),
                    sample.queuedRequests(),
                    sample.prefillEngines(),
                    sample.decodeEngines()));
        }
        return points;
    }

    private Map<Integer, List<CallerTracker>> groupBy(Function<CallerTracker, Integer> key) {
        return callers.stream().collect(Collectors.groupingBy(key, TreeMap::new, Collectors.toList()));
    }

    private static int arrivalSecond(CallerTracker caller) {
        return (int) (caller.request().requestedAt() / NANOSECONDS);
    }
}
