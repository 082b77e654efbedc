package org.aspenmoor.review;

import java.util.ArrayList;
import java.util.List;

/** For some seconds, a server leaves out the end of some answers and then sends an earlier answer a second time. */
final class SecondAnswerCase {
    private static final long TIMEOUT_MILLIS = 3000;
    private static final int SERVERS = 3;
    private static final int CUT_PERCENT = 3;
    private static final long CUT_MILLIS = 5000;
    private static final long PAUSE_MILLIS = 2000;
    private static final int TIMES = 3;
    private static final int MILLIS_BETWEEN_REQUESTS = 15;

    private SecondAnswerCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, SecondAnswerCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            store.put("config", "main", Deployment.configuration(1, TIMEOUT_MILLIS));
            List<EngineStandin> engines = new ArrayList<>();
            for (int number = 1; number <= SERVERS; number++) {
                EngineStandin engine = new EngineStandin("e-" + number, Deployment.SERVICE, run.record());
                engines.add(engine);
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            EntryProcess entry = run.entry("front-1", store);
            entry.start();
            entry.awaitReady(20_000);
            Thread.sleep(3000);
            Outcomes outcomes = new Outcomes();
            int sent = send(run, entry, outcomes, 0, PAUSE_MILLIS);
            for (int time = 0; time < TIMES; time++) {
                engines.getFirst().cutPercent(run.trouble() ? CUT_PERCENT : 0);
                sent = send(run, entry, outcomes, sent, CUT_MILLIS);
                engines.getFirst().cutPercent(0);
                sent = send(run, entry, outcomes, sent, PAUSE_MILLIS);
            }
            List<Caller.Outcome> all = outcomes.all();
            run.record().result("requests: " + Outcomes.summary(all));
            long wrong = all.stream()
                    .filter(outcome -> outcome.how().startsWith(Caller.OTHER_BODY))
                    .count();
            run.record().result("successes with a body that is not the server's: " + wrong + " of " + all.size());
            entry.close();
            return wrong == 0;
        }
    }

    private static int send(CaseRun run, EntryProcess entry, Outcomes outcomes, int sentBefore, long millis)
            throws InterruptedException {
        int sent = sentBefore;
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            boolean safe = sent % 3 == 0;
            String id = "r" + sent;
            sent++;
            outcomes.send(() -> Caller.call(
                    run.record(),
                    entry.callers(),
                    safe ? "GET" : "POST",
                    (safe ? Deployment.SAFE : Deployment.UNSAFE) + id,
                    id,
                    TIMEOUT_MILLIS,
                    TIMEOUT_MILLIS));
            Thread.sleep(MILLIS_BETWEEN_REQUESTS);
        }
        return sent;
    }
}
