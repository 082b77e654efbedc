package org.aspenmoor.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Another writer puts an entry among the servers, with a field missing, one of another type and an id that ends with a line
 * feed, and removes it three seconds later.
 */
final class OddEntryCase {
    private static final String ID_WITH_LINE_END = "i-7f3a91c2\n";
    private static final long PRESENT_MILLIS = 3000;

    private OddEntryCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, OddEntryCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            for (int number = 1; number <= 3; number++) {
                EngineStandin engine = new EngineStandin("e-" + number, Deployment.SERVICE, run.record());
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            for (int number = 1; number <= 4; number++) {
                ModelEngine engine = new ModelEngine("m-" + number, Deployment.MODELS, run.record());
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            return new StopFlow(run, store).play(() -> {
                run.record().add("another writer adds the entry i-7f3a91c2\\n");
                store.put("servers", ID_WITH_LINE_END, oddEntry());
                Thread.ofVirtual().start(() -> removeLater(run, store));
            });
        }
    }

    private static void removeLater(CaseRun run, StoreStandin store) {
        try {
            Thread.sleep(PRESENT_MILLIS);
            store.remove("servers", ID_WITH_LINE_END);
            run.record().add("the entry i-7f3a91c2\\n is removed");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode oddEntry() {
        return Json.object()
                .put("service", Deployment.MODELS)
                .put("address", "127.0.0.1:" + unusedPort())
                .put("zone", "lima-a")
                .put("version", "1")
                .put("slots", "many")
                .put("state", "ready")
                .put("stage", "decode")
                .put("seq", 0);
    }

    private static int unusedPort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException none) {
            throw new IllegalStateException(none);
        }
    }
}
