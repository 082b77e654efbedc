package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;

/**
 * What another entry reported about a collection.
 *
 * @param incarnation distinguishes restarts of the sender
 * @param sequence increases with each report of one incarnation
 * @param state the state that it read
 * @param ageAtReport the age of its call when it reported
 * @param observedAt when it sent the call, by this process's monotonic clock
 * @param receivedAt when the report was received
 */
record PeerObservation(
        long incarnation,
        long sequence,
        CollectionState state,
        Duration ageAtReport,
        long observedAt,
        long receivedAt) {
    boolean supersededBy(PeerObservation other) {
        return incarnation != other.incarnation || sequence < other.sequence;
    }
}
