package org.aspenmoor.internal.link;

import io.netty.channel.Channel;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;

/** One open connection to another process; both sides have said who they are. */
public final class Link {
    private final Channel channel;
    private final Hello peer;

    Link(Channel channel, Hello peer) {
        this.channel = channel;
        this.peer = peer;
    }

    /** Returns who is at the other end. */
    public Hello peer() {
        return peer;
    }

    /** Sends a frame; on a closed link it is dropped, and the listener hears of the closing. */
    public void send(Frame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Says whether the connection stands, as far as this end can tell. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return peer.getProcess() + " at " + channel.remoteAddress();
    }
}
