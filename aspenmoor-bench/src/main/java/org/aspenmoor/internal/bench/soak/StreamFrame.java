package org.aspenmoor.internal.bench.soak;

import org.aspenmoor.RequestId;

/** A frame of a stream on its way from an agent to an entry. */
sealed interface StreamFrame {
    /** Returns the request it belongs to. */
    RequestId request();

    /** Returns the attempt it belongs to. */
    int attempt();

    /** A piece of the answer. */
    record Piece(RequestId request, int attempt, int sequence, byte[] data) implements StreamFrame {}

    /** The end of an attempt that ran to its end. */
    record End(RequestId request, int attempt, int count, int checksum) implements StreamFrame {}

    /** The attempt was not started. */
    record Refusal(RequestId request, int attempt) implements StreamFrame {}
}
