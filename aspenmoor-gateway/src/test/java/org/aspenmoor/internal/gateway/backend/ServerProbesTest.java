package org.aspenmoor.internal.gateway.backend;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerProbesTest {
    private static final long TIMEOUT_SECONDS = 60;
    /** Longer than the test waits, so that only the server's behaviour can trigger the second connection attempt. */
    private static final Duration LONGER_THAN_TEST = Duration.ofMinutes(10);

    private NioEventLoopGroup group;
    private ServerSocket serverSocket;

    @BeforeMethod
    public void start() throws IOException {
        group = new NioEventLoopGroup(1);
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void stop() throws IOException {
        serverSocket.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void should_report_termination_when_the_port_is_closed() throws Exception {
        int port = serverSocket.getLocalPort();
        serverSocket.close();

        assertEquals(probeServer(port, LONGER_THAN_TEST), true);
    }

    @Test
    public void should_report_a_running_server_when_the_port_is_open() throws Exception {
        assertEquals(probeServer(serverSocket.getLocalPort(), ServerProbes.SECOND_ATTEMPT_DELAY), false);
    }

    // Guards against treating a terminated server as running because its port closes slightly later than its
    // connections.
    @Test
    public void should_report_termination_when_the_port_closes_after_the_first_connection() throws Exception {
        int port = serverSocket.getLocalPort();
        Thread.ofPlatform().daemon().start(this::acceptOneAndClosePort);

        assertEquals(probeServer(port, LONGER_THAN_TEST), true);
    }

    // Guards against treating a running server as terminated because it resets connections that exceed its limit.
    @Test
    public void should_report_a_running_server_when_it_closes_accepted_connections() throws Exception {
        Thread.ofPlatform().daemon().start(this::acceptAndCloseAll);

        assertEquals(probeServer(serverSocket.getLocalPort(), LONGER_THAN_TEST), false);
    }

    private boolean probeServer(int port, Duration secondAttemptDelay) throws Exception {
        EventLoop eventLoop = group.next();
        ServerProbes probes = new ServerProbes(eventLoop, secondAttemptDelay);
        BackendServer server = new BackendServer(
                "server",
                1,
                "service",
                new SoftwareVersion("one"),
                "127.0.0.1",
                port,
                "here",
                4,
                BackendState.READY,
                EngineRole.WHOLE);
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        eventLoop.execute(() -> probes.probe(server, result::complete));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void acceptOneAndClosePort() {
        try (Socket accepted = serverSocket.accept()) {
            serverSocket.close();
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void acceptAndCloseAll() {
        try {
            while (true) {
                serverSocket.accept().close();
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }
}
