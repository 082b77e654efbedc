package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.standins.http.Json;

/**
 * Totals of one kind of request; counts of requests unless noted otherwise.
 *
 * @param kind the kind's name
 * @param sent requests sent
 * @param answered answered completely and correctly
 * @param resumed answered requests whose answer was continued by another engine
 * @param refused refused on the last attempt, reported as not run
 * @param refusals number of refusals, including those of requests that were answered later
 * @param unknown unknown whether they ran
 * @param cut answer cut off, detectable by the caller
 * @param broken answer well-formed but incomplete, wrong, or of another request
 * @param doubled creating calls that were executed more than once
 * @param refusedButRan refused as not run although a ledger contains them
 * @param latencies latencies of answered requests
 */
record KindTotals(
        String kind,
        long sent,
        long answered,
        long resumed,
        long refused,
        long refusals,
        long unknown,
        long cut,
        long broken,
        long doubled,
        long refusedButRan,
        Latencies latencies) {

    static KindTotals of(String kind, List<RequestResult> results, Ledgers ledgers) {
        return new KindTotals(
                kind,
                results.size(),
                count(results, RequestEnd.ANSWERED),
                results.stream()
                        .filter(result -> result.end() == RequestEnd.ANSWERED)
                        .filter(result -> ledgers.resumedRuns(result.planned()) > 0)
                        .count(),
                count(results, RequestEnd.REFUSED),
                results.stream().mapToLong(RequestResult::refusals).sum(),
                count(results, RequestEnd.UNKNOWN),
                count(results, RequestEnd.CUT),
                count(results, RequestEnd.BROKEN),
                results.stream()
                        .filter(result -> result.planned() instanceof PlannedRequest.Creation)
                        .filter(result -> ledgers.runs(result.planned()) > 1)
                        .count(),
                results.stream()
                        .filter(result -> result.end() == RequestEnd.REFUSED)
                        .filter(result -> !(result.planned() instanceof PlannedRequest.Repetition))
                        .filter(result -> ledgers.runs(result.planned()) > 0)
                        .count(),
                Latencies.of(results));
    }

    /** Returns whether there was a broken answer, a call executed twice, or a refusal of a request that ran. */
    boolean faulty() {
        return broken + doubled + refusedButRan > 0;
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("kind", kind);
        root.put("sent", sent);
        root.put("answered", answered);
        root.put("resumed", resumed);
        root.put("refused", refused);
        root.put("refusals", refusals);
        root.put("unknown", unknown);
        root.put("cut", cut);
        root.put("broken", broken);
        root.put("doubled", doubled);
        root.put("refusedButRan", refusedButRan);
        root.put("firstToken50", latencies.firstTokenP50());
        root.put("firstToken99", latencies.firstTokenP99());
        root.put("whole50", latencies.totalP50());
        root.put("whole99", latencies.totalP99());
        return root;
    }

    private static long count(List<RequestResult> results, RequestEnd end) {
        return results.stream().filter(result -> result.end() == end).count();
    }

    /**
     * Latencies of answered requests in milliseconds: median (P50) and 99th percentile (P99).
     *
     * @param firstTokenP50 median time to the first token
     * @param firstTokenP99 99th percentile of the time to the first token
     * @param totalP50 median time to the end of the answer
     * @param totalP99 99th percentile of the time to the end of the answer
     */
    record Latencies(long firstTokenP50, long firstTokenP99, long totalP50, long totalP99) {
        private static final double MEDIAN = 0.5;
        private static final double PERCENTILE_99 = 0.99;

        static Latencies of(List<RequestResult> results) {
            long[] first = results.stream()
                    .filter(result -> result.end() == RequestEnd.ANSWERED && result.firstTokenNanoseconds() > 0)
                    .mapToLong(RequestResult::firstTokenNanoseconds)
                    .toArray();
            long[] total = results.stream()
                    .filter(result -> result.end() == RequestEnd.ANSWERED)
                    .mapToLong(RequestResult::totalNanoseconds)
                    .toArray();
            return new Latencies(
                    quantile(first, MEDIAN),
                    quantile(first, PERCENTILE_99),
                    quantile(total, MEDIAN),
                    quantile(total, PERCENTILE_99));
        }

        private static long quantile(long[] values, double fraction) {
            if (values.length == 0) {
                return 0;
            }
            Arrays.sort(values);
            int index = (int) Math.ceil(fraction * values.length) - 1;
            return TimeUnit.NANOSECONDS.toMillis(values[Math.max(0, index)]);
        }
    }
}
