package org.aspenmoor.internal.gateway.caller;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import org.aspenmoor.AspenmoorException;

/** Opens the listening ports of an entry. */
public final class ListeningPort {
    private ListeningPort() {}

    /**
     * Binds a port and returns its channel.
     *
     * @param purpose what the port is for; the subject of the error message
     * @throws AspenmoorException if the port cannot be bound
     */
    public static Channel open(AbstractBootstrap<?, ?> bootstrap, InetSocketAddress address, String purpose)
            throws AspenmoorException {
        try {
            return bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException cause) {
            throw new AspenmoorException(
                    purpose + " cannot be opened: " + cause.getMessage() + ".",
                    address.toString(),
                    "Choose a free port, or stop the process that uses this one.",
                    cause);
        }
    }
}
