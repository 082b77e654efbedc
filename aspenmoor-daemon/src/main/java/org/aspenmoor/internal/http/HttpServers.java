package org.aspenmoor.internal.http;

import java.net.InetAddress;
import java.net.UnknownHostException;
import org.aspenmoor.AspenmoorException;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** Starts HTTP servers. */
public final class HttpServers {
    private HttpServers() {}

    /** Starts a server; with port 0 a free port is chosen, and the returned server reports it as its bind port. */
    public static RatpackServer start(String address, int port, int threads, int headerBytes, Action<Chain> routes)
            throws AspenmoorException {
        try {
            InetAddress bindAddress = InetAddress.getByName(address);
            return RatpackServer.start(spec -> spec.serverConfig(ServerConfig.embedded()
                            .address(bindAddress)
                            .port(port)
                            .threads(threads)
                            .maxHeaderSize(headerBytes))
                    .handlers(routes));
        } catch (UnknownHostException invalidAddress) {
            throw new AspenmoorException(
                    "The address cannot be resolved.", address, "Set \"address\" to an IP address.", invalidAddress);
        } catch (Exception failure) {
            throw new AspenmoorException(
                    "The HTTP port cannot be opened: " + failure.getMessage() + ".",
                    address + ":" + port,
                    "Choose another \"httpPort\", or 0 for a free one.",
                    failure);
        }
    }
}
