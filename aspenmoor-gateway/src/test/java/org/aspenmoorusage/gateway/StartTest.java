package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.gateway.settings.StoreBounds;
import org.aspenmoor.internal.gateway.standin.ObservedStore;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.testng.annotations.Test;

public class StartTest {
    // Guards against refused connections that use up the retries of callers who return while all entries start.
    @Test
    public void should_accept_callers_before_the_store_is_read() throws Exception {
        InetSocketAddress callers = freeAddress();
        CompletableFuture<Boolean> acceptedAtFirstListing = new CompletableFuture<>();
        TestGateway gateway = new TestGateway(
                callers,
                StoreBounds.NONE,
                store -> new ObservedStore(store, () -> acceptedAtFirstListing.complete(acceptsConnections(callers))));
        try {
            assertTrue(acceptedAtFirstListing.get(), "a connection was refused while the configuration was not read");
        } finally {
            gateway.close();
        }
    }

    private static boolean acceptsConnections(InetSocketAddress address) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }
}
