package org.aspenmoor.internal.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.agent.AgentMetrics;
import org.aspenmoor.internal.agent.AgentProcess;
import org.aspenmoor.internal.http.HttpServers;
import org.aspenmoor.internal.http.ProcessRoutes;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.aspenmoor.internal.time.TimeSource;
import ratpack.server.RatpackServer;

/** Assembles and starts an agent. */
final class AgentDaemon {
    private static final int HTTP_THREADS = 1;
    private static final int HEADER_BYTES = 8192;

    private final AgentSettings settings;
    private final RandomGenerator random = new SecureRandom();
    private final TimeSource time = new SystemTimeSource();
    private final PrometheusRegistry registry = new PrometheusRegistry();

    AgentDaemon(AgentSettings settings) {
        this.settings = settings;
    }

    void start(PrintStream out) throws AspenmoorException {
        ProcessSettings process = settings.process();
        AgentProcess agent = new AgentProcess(
                settings, StoreConnections.connect(process, time, random), time, random, new AgentMetrics(registry));
        int linkPort = agent.start();
        RatpackServer server = HttpServers.start(
                process.address(),
                process.httpPort(),
                HTTP_THREADS,
                HEADER_BYTES,
                new ProcessRoutes(registry, agent::dump, agent::isReady));
        out.println("listening " + process.name() + " http://" + process.address() + ":" + server.getBindPort()
                + " link " + linkPort);
        GracefulStop.onSignal(agent::drain, settings.drainLimit(), agent::close);
    }
}
