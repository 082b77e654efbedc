package org.aspenmoor.internal.gateway.caller;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import org.aspenmoor.AspenmoorException;

/** Opens the ports of an entry. */
public final class ListeningPort {
    private ListeningPort() {}

    /** Opens a port and returns its channel; the purpose names it in the error where it is taken. */
    public static Channel open(AbstractBootstrap<?, ?> bootstrap, InetSocketAddress address, String purpose)
            throws AspenmoorException {
        try {
            return bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException taken) {
            throw new AspenmoorException(
                    purpose + " cannot be opened: " + taken.getMessage() + ".",
                    address.toString(),
                    "Choose a free port, or end the process that has it.",
                    taken);
        }
    }
}
