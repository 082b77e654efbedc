package org.aspenmoor.review;

import java.util.ArrayList;
import java.util.List;

/** For some seconds, half of the engines spoil a byte of some of their answers; here a byte of a handle. */
final class HandleCase {
    private static final long TIMEOUT_MILLIS = 3000;
    private static final long DEADLINE_MILLIS = 5000;
    private static final double LATE_SECONDS = (TIMEOUT_MILLIS + 500) / 1000.0;
    private static final int ENGINES = 6;
    private static final int PREFILL_ENGINES = 3;
    private static final int SPOILED_PERCENT = 2;
    private static final long SPOILED_MILLIS = 5000;
    private static final long PAUSE_MILLIS = 2000;
    private static final int TIMES = 3;
    private static final int MILLIS_BETWEEN_REQUESTS = 15;
    private static final int MIN_LATE = 8;

    private HandleCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, HandleCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            store.put("config", "main", Deployment.configuration(1, TIMEOUT_MILLIS));
            List<ModelEngine> engines = new ArrayList<>();
            for (int number = 1; number <= ENGINES; number++) {
                ModelEngine engine = new ModelEngine("m-" + number, Deployment.MODELS, run.record());
                engine.stage(number <= PREFILL_ENGINES ? "prefill" : "decode");
                engines.add(engine);
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            EntryProcess entry = run.entry("front-1", store);
            entry.start();
            entry.awaitReady(20_000);
            Thread.sleep(3000);
            Outcomes outcomes = new Outcomes();
            int sent = send(run, entry, outcomes, engines, store, 0, PAUSE_MILLIS);
            for (int time = 0; time < TIMES; time++) {
                spoil(run, engines, run.trouble() ? SPOILED_PERCENT : 0);
                sent = send(run, entry, outcomes, engines, store, sent, SPOILED_MILLIS);
                spoil(run, engines, 0);
                sent = send(run, entry, outcomes, engines, store, sent, PAUSE_MILLIS);
            }
            List<Caller.Outcome> all = outcomes.all();
            run.record().result("requests: " + Outcomes.summary(all));
            long atTimeout = all.stream()
                    .filter(outcome -> outcome.seconds() > TIMEOUT_MILLIS / 1000.0)
                    .count();
            long late = all.stream()
                    .filter(outcome -> outcome.seconds() > LATE_SECONDS)
                    .count();
            run.record().result("unanswered at timeout_ms: " + atTimeout + ", and half a second later: " + late);
            entry.close();
            return late < MIN_LATE || late * 2 <= atTimeout;
        }
    }

    private static void spoil(CaseRun run, List<ModelEngine> engines, int percent) {
        run.record().add("m-1 to m-" + PREFILL_ENGINES + " spoil " + percent + " of 100 answers");
        engines.subList(0, PREFILL_ENGINES).forEach(engine -> engine.spoiledPercent(percent));
    }

    private static int send(
            CaseRun run,
            EntryProcess entry,
            Outcomes outcomes,
            List<ModelEngine> engines,
            StoreStandin store,
            int sentBefore,
            long millis)
            throws InterruptedException {
        int sent = sentBefore;
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            for (ModelEngine engine : engines) {
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            String id = "draft" + sent;
            sent++;
            outcomes.send(() -> Caller.call(
                    run.record(),
                    entry.callers(),
                    "POST",
                    Deployment.CLASSIFY + id,
                    id,
                    DEADLINE_MILLIS,
                    DEADLINE_MILLIS));
            Thread.sleep(MILLIS_BETWEEN_REQUESTS);
        }
        return sent;
    }
}
