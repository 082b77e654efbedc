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
 * <p>Arrivals are Poisson; lengths are log-normal around the kind's typical ones, as published for conversations and
 * code. Load is given as a share of the engine time the fleet has, so that traces press every fleet alike.
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

    /** Generates one trace. */
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
            int phase = (int) phaseEnds.stream().filter(past -> past <= now).count();
            return (phase + first) % 2 == 0 ? WorkMix.PROMPT_HEAVY : WorkMix.OUTPUT_HEAVY;
        };
    }

    /** The heaviest kind stays within what the fleet can do; the others swing. */
    private MixSchedule overloadMix() {
        boolean promptsAreHeaviest = fleet.kinds().get(0).declaration().weight()
                > fleet.kinds().get(1).declaration().weight();
        WorkMix one = promptsAreHeaviest ? new WorkMix(0.3, 0.6, 0.1) : new WorkMix(0.6, 0.3, 0.1);
        WorkMix other = promptsAreHeaviest ? new WorkMix(0.3, 0.1, 0.6) : new WorkMix(0.1, 0.3, 0.6);
        MixSchedule swings = swingingMix(60, 90);
        return now -> swings.at(now).equals(WorkMix.PROMPT_HEAVY) ? one : other;
    }

    private Trace engineWithdrawn(BuiltInTrace trace) {
        int one = random.nextInt(fleet.engines().size());
        int other = (one + 1) % fleet.engines().size();
        List<TraceIncident> incidents = List.of(
                new TraceIncident.Withdrawal(60, one),
                new TraceIncident.Withdrawal(70, other),
                new TraceIncident.Return(150, one),
                new TraceIncident.Return(170, other));
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
        double[] nextArrivals = new double[fleet.kinds().size()];
        for (int kind = 0; kind < nextArrivals.length; kind++) {
            nextArrivals[kind] = sampleExponential();
        }
        for (double now = 0; now < TRACE_SECONDS; now += STEP_SECONDS) {
            for (int kind = 0; kind < nextArrivals.length; kind++) {
                double rate = load.at(now)
                        * mix.at(now).fractionOf(kind)
                        * fleet.maxRequestsPerSecond(fleet.kinds().get(kind));
                double stepArrivals = rate * STEP_SECONDS;
                double elapsed = 0;
                while (nextArrivals[kind] <= stepArrivals - elapsed) {
                    elapsed += nextArrivals[kind];
                    double arrival = now + elapsed / rate;
                    requests.add(request(arrival, team, fleet.kinds().get(kind), prefixes, prefixFraction));
                    nextArrivals[kind] = sampleExponential();
                }
                nextArrivals[kind] -= stepArrivals - elapsed;
            }
        }
        requests.sort((one, other) -> Double.compare(one.arrivalSeconds(), other.arrivalSeconds()));
        return requests;
    }

    private TraceRequest request(double arrival, String team, TraceKind kind, int prefixes, double prefixFraction) {
        int prompt = sampleLength(kind.typicalPromptTokens());
        int output = Math.min(kind.declaration().longestOutputTokens(), sampleLength(kind.typicalOutputTokens()));
        String prefix = team + "-" + kind.declaration().name() + "-" + samplePrefix(prefixes);
        int prefixTokens = (int) (prefixFraction * kind.typicalPromptTokens());
        return new TraceRequest(
                arrival,
                team,
                kind.declaration().name(),
                Math.max(prompt, prefixTokens + 8),
                output,
                Optional.of(prefix),
                prefixTokens);
    }

    /** Draws a prefix; low numbers are drawn more often. */
    private int samplePrefix(int prefixes) {
        return (int) (prefixes * Math.pow(random.nextDouble(), 1.7));
    }

    private int sampleLength(int typical) {
        return Math.max(4, (int) (typical * Math.exp(LENGTH_LOG_DEVIATION * random.nextGaussian())));
    }

    private double sampleExponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
