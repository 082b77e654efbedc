package org.aspenmoor.internal.link;

import org.aspenmoor.internal.wire.v1.Frame;

/** Hears what happens on links; called on the network thread, which a blocked call slows down. */
public interface LinkListener {
    /** A link stands. */
    void opened(Link link);

    /** A frame arrived. */
    void received(Link link, Frame frame);

    /** A link that was opened has ended; no more frames follow. */
    void closed(Link link, String cause);
}
