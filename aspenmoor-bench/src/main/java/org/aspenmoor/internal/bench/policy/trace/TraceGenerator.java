package org.aspenmoor.internal.bench.policy.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.fleet.TraceKind;

/**
 * Generates the built-in traces for a fleet.
 *
 * <p>Arrivals are a Poisson process; lengths are log-normal around the typical lengths of the kind, as published for
 * conversations and code. Load is given as a fraction of the engine time available, so that a trace loads every fleet
 * to the same degree.
 */
public final class TraceGenerator {
    private static final double TRACE_SECONDS = 240;
    private static final double LENGTH_LOG_DEVIATION = 0.35;
    private static final double STEP_SECONDS = 0.25;
    private static final int PREFIXES_PER_KIND = 12;
    private static final int MANY_PREFIXES_PER_KIND = 40;

    private final Fleet fleet;
    private final RandomGenerator random;

    public TraceGenerator(Fleet fleet, RandomGenerator random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Generates a trace. */
    public Trace generate(BuiltInTrace trace) {
        return switch (trace) {
            case LONG_PROMPTS ->
                withoutIncidents(trace, now -> now < 60 ? WorkMix.EVEN : WorkMix.PROMPT_HEAVY, now -> 0.8);
            case LONG_ANSWERS ->
                withoutIncidents(trace, now -> now < 60 ? WorkMix.EVEN : WorkMix.OUTPUT_HEAVY, now -> 0.8);
            case SLOW_DRIFT ->
                withoutIncidents(
                        trace,
                        now -> WorkMix.interpolate(
                                WorkMix.PROMPT_HEAVY,
                                WorkMix.OUTPUT_HEAVY,
                                0.5 - 0.5 * Math.cos(now / TRACE_SECONDS * 2 * Math.PI)),
                        now -> 0.85);
            case SUDDEN_SWINGS -> withoutIncidents(trace, swingingMix(40, 60), now -> 0.95);
            case FAST_OSCILLATION ->
                withoutIncidents(
                        trace,
                        now -> (int) (now / 4) % 2 == 0 ? WorkMix.PROMPT_HEAVY : WorkMix.OUTPUT_HEAVY,
                        now -> 0.7);
            case OVERLOAD_1_3 -> withoutIncidents(trace, overloadMix(), now -> 1.3);
            case OVERLOAD_2 -> withoutIncidents(trace, overloadMix(), now -> 2.0);
            case ENGINE_WITHDRAWN -> engineWithdrawn(trace);
            case LATE_REPORTS -> lateReports(trace);
            case TEAM_FLOOD -> teamFlood(trace);
            case PREFIX_HEAVY -> prefixHeavy(trace);
        };
    }

    private Trace withoutIncidents(BuiltInTrace trace, MixSchedule mix, LoadSchedule load) {
        return new Trace(trace.label(), requests("house", mix, load, PREFIXES_PER_KIND, 0.3), List.of());
    }

    private MixSchedule swingingMix(double minPhaseSeconds, double maxPhaseSeconds) {
        List<Double> phaseEnds = new ArrayList<>();
        double end = 0;
        while (end < TRACE_SECONDS) {
            end += random.nextDouble(minPhaseSeconds, maxPhaseSeconds);
            phaseEnds.add(end);
        }
        int first = random.nextInt(2);
        return now -> {
            int phase =
                    (int) phaseEnds.stream().filter(phaseEnd -> phaseEnd <= now).count();
            return (phase + first) % 2 == 0 ? WorkMix.PROMPT_HEAVY : WorkMix.OUTPUT_HEAVY;
        };
    }

    /**
     * Returns a mix in which the kind with the highest weight stays within the capacity of the fleet and the others
     * alternate.
     */
    private MixSchedule overloadMix() {
        boolean promptsAreHeaviest = fleet.kinds().get(0).declaration().weight()
                > fleet.kinds().get(1).declaration().weight();
        WorkMix firstMix = promptsAreHeaviest ? new WorkMix(0.3, 0.6, 0.1) : new WorkMix(0.6, 0.3, 0.1);
        WorkMix secondMix = promptsAreHeaviest ? new WorkMix(0.3, 0.1, 0.6) : new WorkMix(0.1, 0.3, 0.6);
        MixSchedule swingingMix = swingingMix(60, 90);
        return now -> swingingMix.at(now).equals(WorkMix.PROMPT_HEAVY) ? firstMix : secondMix;
    }

    private Trace engineWithdrawn(BuiltInTrace trace) {
        int firstEngine = random.nextInt(fleet.engines().size());
        int secondEngine = (firstEngine + 1) % fleet.engines().size();
        List<TraceIncident> incidents = List.of(
                new TraceIncident.Withdrawal(60, firstEngine),
                new TraceIncident.Withdrawal(70, secondEngine),
                new TraceIncident.Return(150, firstEngine),
                new TraceIncident.Return(170, secondEngine));
        MixSchedule mix = now -> now < 110 ? WorkMix.PROMPT_HEAVY : WorkMix.EVEN;
        return new Trace(trace.label(), requests("house", mix, now -> 0.75, PREFIXES_PER_KIND, 0.3), incidents);
    }

    private Trace lateReports(BuiltInTrace trace) {
        List<TraceIncident> incidents = List.of(new TraceIncident.ReportLag(0, 4));
        return new Trace(
                trace.label(), requests("house", swingingMix(50, 80), now -> 0.85, PREFIXES_PER_KIND, 0.3), incidents);
    }

    private Trace teamFlood(BuiltInTrace trace) {
        List<TraceRequest> requests =
                new ArrayList<>(requests("house", now -> WorkMix.EVEN, now -> 0.4, PREFIXES_PER_KIND, 0.3));
        requests.addAll(requests(
                "flooding", now -> WorkMix.EVEN, now -> now > 60 && now < 150 ? 2 : 0.3, PREFIXES_PER_KIND, 0.3));
        requests.sort((one, other) -> Double.compare(one.arrivalSeconds(), other.arrivalSeconds()));
        return new Trace(trace.label(), requests, List.of());
    }

    private Trace prefixHeavy(BuiltInTrace trace) {
        return new Trace(
                trace.label(),
                requests("house", now -> WorkMix.PROMPT_HEAVY, now -> 0.8, MANY_PREFIXES_PER_KIND, 0.8),
                List.of());
    }

    private List<TraceRequest> requests(
            String team, MixSchedule mix, LoadSchedule load, int prefixes, double prefixFraction) {
        List<TraceRequest> requests = new ArrayList<>();
        // A Poisson process with a varying rate: the distances between arrivals are exponential in the integrated rate.
        double[] remainingToArrival = new double[fleet.kinds().size()];
        for (int kind = 0; kind < remainingToArrival.length; kind++) {
            remainingToArrival[kind] = sampleExponential();
        }
        for (double now = 0; now < TRACE_SECONDS; now += STEP_SECONDS) {
            for (int kind = 0; kind < remainingToArrival.length; kind++) {
                double rate = load.at(now)
                        * mix.at(now).fractionOf(kind)
                        * fleet.maxRequestsPerSecond(fleet.kinds().get(kind));
                double expectedArrivals = rate * STEP_SECONDS;
                double used = 0;
                while (remainingToArrival[kind] <= expectedArrivals - used) {
                    used += remainingToArrival[kind];
                    double arrival = now + used / rate;
                    requests.add(request(arrival, team, fleet.kinds().get(kind), prefixes, prefixFraction));
                    remainingToArrival[kind] = sampleExponential();
                }
                remainingToArrival[kind] -= expectedArrivals - used;
            }
        }
        requests.sort((one, other) -> Double.compare(one.arrivalSeconds(), other.arrivalSeconds()));
        return requests;
    }

    private TraceRequest request(double arrival, String team, TraceKind kind, int prefixes, double prefixFraction) {
        int promptTokens = sampleLength(kind.typicalPromptTokens());
        int outputTokens = Math.min(kind.declaration().longestOutputTokens(), sampleLength(kind.typicalOutputTokens()));
        String prefix = team + "-" + kind.declaration().name() + "-" + samplePrefix(prefixes);
        int prefixTokens = (int) (prefixFraction * kind.typicalPromptTokens());
        return new TraceRequest(
                arrival,
                team,
                kind.declaration().name(),
                Math.max(promptTokens, prefixTokens + 8),
                outputTokens,
                Optional.of(prefix),
                prefixTokens);
    }

    /** Draws the index of a prefix; low indices are drawn more often. */
    private int samplePrefix(int prefixes) {
        return (int) (prefixes * Math.pow(random.nextDouble(), 1.7));
    }

    private int sampleLength(int typicalTokens) {
        return Math.max(4, (int) (typicalTokens * Math.exp(LENGTH_LOG_DEVIATION * random.nextGaussian())));
    }

    private double sampleExponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
