package org.aspenmoor.internal.bench.replay.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Adds up what became of all callers of a day. */
final class DayResultCalculator {
    /** What a request is worth whatever its size, as a part of the mean of its kind; the rest grows with its size. */
    private static final double FIXED_VALUE_FRACTION = 0.3;

    private static final double MAX_RELATIVE_VALUE = 4;
    private static final double MIN_UNSERVED_FRACTION = 0.001;
    private static final int WINDOW_SECONDS = 3;
    private static final int WORST_WINDOW_COUNT = 2;

    /** A window with fewer callers says nothing. */
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

    DayResult result(String day, long seed, List<DayPoint> samples) {
        double served = fraction(callers, CallerTracker::served);
        double availabilityScore =
                Math.min(1, Math.log(Math.max(MIN_UNSERVED_FRACTION, 1 - served)) / Math.log(MIN_UNSERVED_FRACTION));
        List<KindResult> kinds = new ArrayList<>();
        groupByKind().forEach((name, group) -> kinds.add(kindResult(name, group)));
        return new DayResult(
                day,
                seed,
                earnedFraction(callers),
                served,
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

    private double earnedFraction(List<CallerTracker> callers) {
        double possible = callers.stream().mapToDouble(this::possibleValue).sum();
        double earned = callers.stream()
                .mapToDouble(caller -> possibleValue(caller) * caller.earnedFraction())
                .sum();
        return possible == 0 ? 1 : earned / possible;
    }

    private static double fraction(List<CallerTracker> callers, Predicate<CallerTracker> condition) {
        return callers.isEmpty()
                ? 1
                : (double) callers.stream().filter(condition).count() / callers.size();
    }

    private KindResult kindResult(String name, List<CallerTracker> callers) {
        return new KindResult(
                name,
                callers.size(),
                earnedFraction(callers),
                fraction(callers, CallerTracker::onTime),
                fraction(callers, CallerTracker::served),
                fraction(callers, caller -> caller.result() == CallerResult.REFUSED),
                fraction(callers, caller -> caller.result() == CallerResult.FAILED),
                fraction(largest(callers, 0, LARGEST_PERCENT), CallerTracker::served));
    }

    /** Returns those between two percentages of the order by size, the largest first. */
    private static List<CallerTracker> largest(List<CallerTracker> callers, int fromPercent, int toPercent) {
        List<CallerTracker> sorted = callers.stream()
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
            List<CallerTracker> callers = callersBySecond.getOrDefault(sample.second(), List.of());
            points.add(new DayPoint(
                    sample.second(),
                    callers.size(),
                    earnedFraction(callers),
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
