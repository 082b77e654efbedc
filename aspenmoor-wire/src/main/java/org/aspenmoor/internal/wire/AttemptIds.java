package org.aspenmoor.internal.wire;

import org.aspenmoor.internal.wire.v1.AttemptId;

/** Creates attempt IDs of the wire protocol. */
public final class AttemptIds {
    private AttemptIds() {}

    /** Returns the ID of an attempt of the request with the given 128-bit ID. */
    public static AttemptId of(long high, long low, int attempt) {
        return AttemptId.newBuilder()
                .setRequestHigh(high)
                .setRequestLow(low)
                .setAttempt(attempt)
                .build();
    }
}
