package org.aspenmoor.internal.link;

import org.aspenmoor.internal.wire.v1.Frame;

/** Receives the events of links; called on the network thread, which a blocking call delays. */
public interface LinkListener {
    /** Called when a link has been opened: the peer has sent a matching greeting. */
    void opened(Link link);

    /** Called for each received frame. */
    void received(Link link, Frame frame);

    /** Called when an opened link has been closed; no more frames follow. */
    void closed(Link link, String cause);
}
