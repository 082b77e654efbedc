package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PlacedWork;

/** Notes where a server ended while it had one request. Confined to the event loop. */
final class ServerEnds {
    private final RequestTools tools;
    private final String request;
    private final IncomingRequest incoming;

    ServerEnds(RequestTools tools, String request, IncomingRequest incoming) {
        this.tools = tools;
        this.request = request;
        this.incoming = incoming;
    }

    /**
     * Notes that a connection broke before the answer was complete; whether its server has ended shows a little later.
     *
     * @param told how long the answer had been told
     */
    void connectionBroke(BackendServer server, PlacedWork work, Duration told) {
        Duration asked = Duration.ofNanos(tools.state().time().monotonicNanoseconds() - work.atNanoseconds());
        BrokenRun run = new BrokenRun(request, RequestDigests.of(incoming), server, asked, told);
        tools.connections().ifEnded(server, () -> ended(run));
    }

    private void ended(BrokenRun run) {
        BackendServer server = run.server();
        boolean planned = !tools.state().takesWork(server);
        tools.metrics().serverEnded(server.service(), planned);
        write(run, planned);
    }

    private void write(BrokenRun run, boolean planned) {
        BackendServer server = run.server();
        long now = tools.state().time().monotonicNanoseconds();
        long requests = Math.round(tools.state().placer().load(server.id(), now).requests());
        tools.state()
                .log()
                .notable("server-ended")
                .with("request", run.request())
                .with("digest", run.digest().text())
                .with("service", server.service())
                .with("server", server.id())
                .with("startedAt", server.startedAt())
                .with("planned", Boolean.toString(planned))
                .with("askedMs", run.asked().toMillis())
                .with("toldMs", run.told().toMillis())
                .with("requests", requests)
                .write();
    }
}
