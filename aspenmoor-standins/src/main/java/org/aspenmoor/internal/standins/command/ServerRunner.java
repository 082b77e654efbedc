package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.aspenmoor.internal.standins.http.Handler;
import org.aspenmoor.internal.standins.http.StandinServer;

/** Runs the HTTP server of a stand-in until the process is stopped. */
final class ServerRunner {
    private ServerRunner() {}

    static int serve(PrintStream output, String name, int port, Handler handler)
            throws IOException, InterruptedException {
        try (StandinServer server = new StandinServer(port, handler)) {
            server.start();
            output.println("listening " + name + " " + server.address());
            output.flush();
            new CountDownLatch(1).await();
            return 0;
        }
    }
}
