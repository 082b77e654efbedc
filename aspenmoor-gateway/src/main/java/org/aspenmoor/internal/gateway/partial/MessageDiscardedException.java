package org.aspenmoor.internal.gateway.partial;

import java.io.IOException;

/** Signals on a connection that the message on it has been discarded. */
final class MessageDiscardedException extends IOException {
    private static final long serialVersionUID = 1L;

    MessageDiscardedException() {
        super("incomplete messages take too much memory, and this one is the largest");
    }
}
