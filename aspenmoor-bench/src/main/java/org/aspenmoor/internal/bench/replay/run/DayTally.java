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
final class DayTally {
    /** What a request is worth whatever its size, as a part of the mean of its kind; the rest grows with its size. */
    private static final double FIXED_WORTH = 0.3;

    private static final double MOST_WORTH = 4;
    private static final double LEAST_UNSERVED = 0.001;
    private static final int WINDOW_SECONDS = 3;
    private static final int WORST_WINDOWS = 2;

    /** A window with fewer callers says nothing. */
    private static final int LEAST_CALLERS = 10;

    private static final int LARGE_PART = 10;
    private static final int SMALLER_PART = 30;
    private static final double NANOSECONDS = 1e9;

    private final List<AskOutcome> outcomes;
    private final Map<String, Double> meanSizes;

    DayTally(List<AskOutcome> outcomes) {
        this.outcomes = outcomes.stream()
                .filter(outcome -> outcome.end() != AskEnd.OPEN)
                .toList();
        this.meanSizes = this.outcomes.stream()
                .collect(Collectors.groupingBy(
                        DayTally::kind,
                        Collectors.averagingDouble(outcome -> outcome.ask().size())));
    }

    DayResult result(String day, long seed, List<DayPoint> roles) {
        double served = share(outcomes, AskOutcome::served);
        double nines = Math.min(1, Math.log(Math.max(LEAST_UNSERVED, 1 - served)) / Math.log(LEAST_UNSERVED));
        List<KindResult> kinds = new ArrayList<>();
        byKind().forEach((name, each) -> kinds.add(kindResult(name, each)));
        return new DayResult(
                day,
                seed,
                earned(outcomes),
                served,
                nines,
                worstWindows(),
                worstKind(),
                refusedAfter(),
                kinds,
                points(roles));
    }

    private static String kind(AskOutcome outcome) {
        return outcome.ask().kind().name();
    }

    private Map<String, List<AskOutcome>> byKind() {
        return outcomes.stream().collect(Collectors.groupingBy(DayTally::kind, TreeMap::new, Collectors.toList()));
    }

    private double owed(AskOutcome outcome) {
        double size = outcome.ask().size() / meanSizes.get(kind(outcome));
        return outcome.ask().kind().worth() * Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size);
    }

    private double earned(List<AskOutcome> some) {
        double owed = some.stream().mapToDouble(this::owed).sum();
        double earned = some.stream()
                .mapToDouble(outcome -> owed(outcome) * outcome.earned())
                .sum();
        return owed == 0 ? 1 : earned / owed;
    }

    private static double share(List<AskOutcome> some, Predicate<AskOutcome> which) {
        return some.isEmpty() ? 1 : (double) some.stream().filter(which).count() / some.size();
    }

    private KindResult kindResult(String name, List<AskOutcome> some) {
        return new KindResult(
                name,
                some.size(),
                earned(some),
                share(some, AskOutcome::onTime),
                share(some, AskOutcome::served),
                share(some, outcome -> outcome.end() == AskEnd.REFUSED),
                share(some, outcome -> outcome.end() == AskEnd.FAILED),
                share(largest(some, 0, LARGE_PART), AskOutcome::served));
    }

    /** Returns those between two percentages of the order by size, the largest first. */
    private static List<AskOutcome> largest(List<AskOutcome> some, int fromPercent, int toPercent) {
        List<AskOutcome> sorted = some.stream()
                .sorted(Comparator.comparingDouble(
                                (AskOutcome outcome) -> outcome.ask().size())
                        .reversed())
                .toList();
        return sorted.subList(sorted.size() * fromPercent / 100, sorted.size() * toPercent / 100);
    }

    private double worstKind() {
        double worst = 1;
        for (List<AskOutcome> each : byKind().values()) {
            worst = Math.min(worst, earned(each));
            worst = Math.min(worst, earned(largest(each, 0, LARGE_PART)));
            worst = Math.min(worst, earned(largest(each, LARGE_PART, SMALLER_PART)));
        }
        return worst;
    }

    private double worstWindows() {
        Map<Integer, List<AskOutcome>> windows = by(outcome -> second(outcome) / WINDOW_SECONDS);
        return windows.values().stream()
                .filter(each -> each.size() >= LEAST_CALLERS)
                .mapToDouble(this::earned)
                .sorted()
                .limit(WORST_WINDOWS)
                .average()
                .orElse(1);
    }

    private double refusedAfter() {
        double[] sorted = outcomes.stream()
                .filter(outcome -> outcome.end() == AskEnd.REFUSED)
                .mapToDouble(AskOutcome::refusedAfterSeconds)
                .sorted()
                .toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    private List<DayPoint> points(List<DayPoint> roles) {
        Map<Integer, List<AskOutcome>> seconds = by(DayTally::second);
        List<DayPoint> points = new ArrayList<>();
        for (DayPoint role : roles) {
            List<AskOutcome> some = seconds.getOrDefault(role.second(), List.of());
            points.add(new DayPoint(
                    role.second(),
                    some.size(),
                    earned(some),
                    role.waiting(),
                    role.promptEngines(),
                    role.answerEngines()));
        }
        return points;
    }

    private Map<Integer, List<AskOutcome>> by(Function<AskOutcome, Integer> key) {
        return outcomes.stream().collect(Collectors.groupingBy(key, TreeMap::new, Collectors.toList()));
    }

    private static int second(AskOutcome outcome) {
        return (int) (outcome.ask().askedAt() / NANOSECONDS);
    }
}
