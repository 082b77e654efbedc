package org.aspenmoor.review;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;

/** The requests of one part of a case. */
final class Outcomes {
    private static final ExecutorService CALLERS = Executors.newVirtualThreadPerTaskExecutor();

    private final List<Future<Caller.Outcome>> futures = new ArrayList<>();

    /** Sends a request in a thread of its own. */
    void send(Supplier<Caller.Outcome> call) {
        futures.add(CALLERS.submit(call::get));
    }

    /** Waits for all requests to end. */
    List<Caller.Outcome> all() throws InterruptedException, ExecutionException {
        List<Caller.Outcome> outcomes = new ArrayList<>();
        for (Future<Caller.Outcome> future : futures) {
            outcomes.add(future.get());
        }
        return outcomes;
    }

    /** Returns how many requests ended in which way. */
    static String summary(List<Caller.Outcome> outcomes) {
        TreeMap<String, Integer> counts = new TreeMap<>();
        outcomes.forEach(outcome -> counts.merge(outcome.status() + " " + outcome.how(), 1, Integer::sum));
        return counts.toString();
    }
}
