package org.aspenmoor.internal.link;

import io.netty.channel.Channel;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;

/** An open connection to another process; both sides have identified themselves. */
public final class Link {
    private final Channel channel;
    private final Hello peer;

    Link(Channel channel, Hello peer) {
        this.channel = channel;
        this.peer = peer;
    }

    /** Returns the greeting of the peer, which identifies it. */
    public Hello peer() {
        return peer;
    }

    /** Sends a frame; on a closed link it is dropped, and the listener is notified of the closing. */
    public void send(Frame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Returns whether the connection is open as far as this side knows. */
    public boolean isOpen() {
        return channel.isActive();
    }

    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return peer.getProcess() + " at " + channel.remoteAddress();
    }
}
