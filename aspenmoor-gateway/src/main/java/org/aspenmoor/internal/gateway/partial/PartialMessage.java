package org.aspenmoor.internal.gateway.partial;

/** A message that is being received. */
@FunctionalInterface
interface PartialMessage {
    /** Discards the message, because all incomplete messages together take too much memory. */
    void discard();
}
