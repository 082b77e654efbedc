package org.aspenmoor.internal.wire;

import org.aspenmoor.internal.wire.v1.AttemptId;

/** Short forms for attempt identities on the wire. */
public final class AttemptIds {
    private AttemptIds() {}

    /** Writes an identity. */
    public static AttemptId of(long high, long low, int attempt) {
        return AttemptId.newBuilder()
                .setRequestHigh(high)
                .setRequestLow(low)
                .setAttempt(attempt)
                .build();
    }
}
