package org.aspenmoor.review;

import java.util.ArrayList;
import java.util.List;

/** One of three servers states, in whole seconds, an idle timeout of some hundred years. */
final class KeepAliveCase {
    private static final String NEARLY_NEVER = "timeout=9999999999";

    private KeepAliveCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, KeepAliveCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            List<EngineStandin> engines = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                EngineStandin engine = new EngineStandin("e-" + number, Deployment.SERVICE, run.record());
                engines.add(engine);
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            return new StopFlow(run, store).play(() -> {
                run.record().add("e-1 states Keep-Alive: " + NEARLY_NEVER);
                engines.getFirst().keepAlive(NEARLY_NEVER);
            });
        }
    }
}
