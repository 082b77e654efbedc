package org.aspenmoor.review;

import java.util.ArrayList;
import java.util.List;

/** A server leaves without saying so first; two seconds later the store comes back from a copy some seconds old. */
final class RestoreCase {
    private static final long TIMEOUT_MILLIS = 5000;
    private static final long DEADLINE_MILLIS = 5000;
    private static final double DRAIN_SECONDS = 2;
    private static final double CONTACT_SECONDS = 3;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long WORK_MILLIS = 300;

    /** How long after the store's return e-3 serves, which makes some six seconds since it left. */
    private static final long SERVES_ON_MILLIS = 3500;

    private RestoreCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, RestoreCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            store.put("config", "main", Deployment.configuration(1, TIMEOUT_MILLIS));
            List<EngineStandin> engines = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                EngineStandin engine = new EngineStandin("e-" + number, Deployment.SERVICE, run.record());
                engine.workMillis(WORK_MILLIS);
                engines.add(engine);
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            EngineStandin leaving = engines.get(2);
            EntryProcess entry = run.entry("front-1", store);
            entry.start();
            entry.awaitReady(20_000);
            Outcomes outcomes = new Outcomes();
            int sent = send(run, entry, outcomes, 0, 5000);
            store.copy();
            run.record().add("the store is copied");
            sent = send(run, entry, outcomes, sent, 1000);
            store.remove("servers", leaving.id());
            double left = run.record().seconds();
            double back = left;
            run.record().add("e-3 leaves: its entry is removed, and it goes on serving");
            sent = send(run, entry, outcomes, sent, 2000);
            if (run.trouble()) {
                store.away(true);
                run.record().add("the store is away");
                sent = send(run, entry, outcomes, sent, 500);
                store.restore();
                back = run.record().seconds();
                run.record().add("the store is back from its copy");
                store.put("servers", engines.get(0).id(), engines.get(0).registration("ready"));
                store.put("servers", engines.get(1).id(), engines.get(1).registration("ready"));
            }
            sent = send(run, entry, outcomes, sent, SERVES_ON_MILLIS);
            leaving.close();
            run.record().add("e-3 ends");
            sent = send(run, entry, outcomes, sent, 3 * HEARTBEAT_MILLIS - SERVES_ON_MILLIS);
            store.remove("servers", leaving.id());
            run.record().add("the entry of e-3 lapses, three heartbeats after the store came back");
            send(run, entry, outcomes, sent, 1000);
            run.record().result("requests: " + Outcomes.summary(outcomes.all()));
            double returned = back;
            List<Double> late = leaving.runsAt().stream()
                    .filter(at -> at > left + DRAIN_SECONDS)
                    .toList();
            long inTouch = late.stream().filter(at -> at > returned + CONTACT_SECONDS).count();
            run.record().result("requests that reached e-3 later than drain_ms after it left: " + late.size() + ", of these "
                    + inTouch + " later than contact_ms after the store's return");
            entry.close();
            return late.isEmpty();
        }
    }

    private static int send(CaseRun run, EntryProcess entry, Outcomes outcomes, int sentBefore, long millis)
            throws InterruptedException {
        int sent = sentBefore;
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            String id = "r" + sent;
            sent++;
            outcomes.send(() -> Caller.call(
                    run.record(),
                    entry.callers(),
                    "POST",
                    Deployment.UNSAFE + id,
                    id,
                    DEADLINE_MILLIS,
                    DEADLINE_MILLIS));
            Thread.sleep(50);
        }
        return sent;
    }
}
