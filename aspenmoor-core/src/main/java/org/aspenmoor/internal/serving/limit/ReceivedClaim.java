package org.aspenmoor.internal.serving.limit;

/**
 * The latest claim of another entry.
 *
 * @param receivedAt when it was received, in nanoseconds of the monotonic clock
 */
record ReceivedClaim(ShareClaim claim, long receivedAt) {}
