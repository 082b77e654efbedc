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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerProbesTest {
    private static final long PATIENCE_SECONDS = 60;
    /** Longer than the test waits, so that only the server's behaviour can trigger the second connection attempt. */
    private static final Duration NEVER = Duration.ofMinutes(10);

    private NioEventLoopGroup group;
    private ServerSocket port;

    @BeforeMethod
    public void start() throws IOException {
        group = new NioEventLoopGroup(1);
        port = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void stop() throws IOException {
        port.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void should_see_that_a_server_with_a_closed_port_has_ended() throws Exception {
        int number = port.getLocalPort();
        port.close();

        assertEquals(probed(number, NEVER), true);
    }

    @Test
    public void should_see_that_a_server_with_an_open_port_lives() throws Exception {
        assertEquals(probed(port.getLocalPort(), ServerProbes.SECOND_LOOK), false);
    }

    // Guards against treating a terminated server as running because its port closes slightly later than its
    // connections.
    @Test
    public void should_look_again_where_the_port_closes_a_moment_later() throws Exception {
        int number = port.getLocalPort();
        Thread.ofPlatform().daemon().start(this::acceptOneAndEnd);

        assertEquals(probed(number, NEVER), true);
    }

    // Guards against treating a running server as terminated because it resets connections that exceed its limit.
    @Test
    public void should_see_that_a_server_lives_which_closes_what_it_accepts() throws Exception {
        Thread.ofPlatform().daemon().start(this::acceptAndCloseAll);

        assertEquals(probed(port.getLocalPort(), NEVER), false);
    }

    private boolean probed(int number, Duration secondLook) throws Exception {
        EventLoop eventLoop = group.next();
        ServerProbes probes = new ServerProbes(eventLoop, secondLook);
        BackendServer server = new BackendServer(
                "server", 1, "service", "127.0.0.1", number, "here", 4, BackendState.READY, EngineRole.WHOLE);
        CompletableFuture<Boolean> told = new CompletableFuture<>();
        eventLoop.execute(() -> probes.probe(server, told::complete));
        return told.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private void acceptOneAndEnd() {
        try (Socket accepted = port.accept()) {
            port.close();
        } catch (IOException ended) {
            // The test is over.
        }
    }

    private void acceptAndCloseAll() {
        try {
            while (true) {
                port.accept().close();
            }
        } catch (IOException ended) {
            // The test is over.
        }
    }
}
