package org.aspenmoor.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two entries serve; something happens; ten seconds later one of them is stopped as the platform stops it, while callers
 * go on using the connections that they have kept.
 */
final class StopFlow {
    /** What happens before the stop. */
    interface Disruption {
        void begin() throws InterruptedException;
    }

    private static final long TIMEOUT_MILLIS = 5000;
    private static final long DEADLINE_MILLIS = 5000;
    private static final long GRACE_MILLIS = 8000;
    private static final double LOSS_SLACK_SECONDS = 0.2;
    private static final int KEPT_CONNECTIONS = 20;

    /** Callers reuse connections that have been idle for up to four fifths of the idle timeout of 15 s. */
    private static final long REUSE_AFTER_MILLIS = 7000;

    private final CaseRun run;
    private final StoreStandin store;
    private final EntryProcess stopped;
    private final EntryProcess other;

    StopFlow(CaseRun run, StoreStandin store) throws IOException {
        this.run = run;
        this.store = store;
        this.stopped = run.entry("front-1", store);
        this.other = run.entry("front-2", store);
    }

    /** Plays the case and returns whether no accepted request was lost. */
    boolean play(Disruption disruption) throws Exception {
        store.put("config", "main", Deployment.configuration(1, TIMEOUT_MILLIS));
        stopped.start();
        other.start();
        stopped.awaitReady(20_000);
        other.awaitReady(20_000);
        Thread.sleep(3000);
        report("requests before", send("before", 100));
        if (run.trouble()) {
            disruption.begin();
        }
        report("requests in the 10 s after", send("after", 400));
        run.record().result("entries that say they are ready: " + (stopped.ready() ? 1 : 0) + " and "
                + (other.ready() ? 1 : 0));
        List<KeptCaller> callers = new ArrayList<>();
        Outcomes first = new Outcomes();
        for (int number = 0; number < KEPT_CONNECTIONS; number++) {
            KeptCaller caller = new KeptCaller(run.record(), stopped.callers());
            callers.add(caller);
            String id = "kept" + number;
            first.send(() -> caller.send("GET", Deployment.SAFE + id, id, DEADLINE_MILLIS));
        }
        report("first requests on kept connections", first.all());
        run.record().add("front-1 gets SIGTERM");
        stopped.signal("TERM");
        Outcomes second = new Outcomes();
        Thread.sleep(REUSE_AFTER_MILLIS);
        int closed = 0;
        for (int number = 0; number < KEPT_CONNECTIONS; number++) {
            KeptCaller caller = callers.get(number);
            String id = "again" + number;
            if (caller.closed()) {
                closed++;
                continue;
            }
            second.send(() -> caller.send("GET", Deployment.SAFE + id, id, DEADLINE_MILLIS));
            Thread.sleep(20);
        }
        run.record().result("kept connections that front-1 had closed: " + closed);
        boolean ended = stopped.process()
                .waitFor(GRACE_MILLIS - REUSE_AFTER_MILLIS - 20L * (KEPT_CONNECTIONS - closed), TimeUnit.MILLISECONDS);
        run.record().result("front-1 ended by itself within grace_s: " + ended);
        stopped.close();
        run.record().add("front-1 is dead");
        List<Caller.Outcome> last = second.all();
        report("second requests on kept connections", last);
        long lost = last.stream()
                .filter(outcome -> outcome.status() == 0 && outcome.seconds() > LOSS_SLACK_SECONDS)
                .count();
        run.record().result("read, and ended without an answer later than loss_slack_ms: " + lost);
        other.close();
        return lost == 0;
    }

    private List<Caller.Outcome> send(String prefix, int count) throws Exception {
        Outcomes outcomes = new Outcomes();
        for (int number = 0; number < count; number++) {
            boolean safe = number % 4 < 2;
            int port = number % 2 == 0 ? stopped.callers() : other.callers();
            String id = prefix + number;
            outcomes.send(() -> Caller.call(
                    run.record(),
                    port,
                    safe ? "GET" : "POST",
                    (safe ? Deployment.SAFE : Deployment.UNSAFE) + id,
                    id,
                    DEADLINE_MILLIS,
                    DEADLINE_MILLIS + 1000));
            Thread.sleep(25);
        }
        return outcomes.all();
    }

    private void report(String what, List<Caller.Outcome> outcomes) {
        run.record().result(what + ": " + Outcomes.summary(outcomes));
    }
}
