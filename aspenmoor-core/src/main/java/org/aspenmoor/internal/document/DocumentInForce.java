package org.aspenmoor.internal.document;

import java.time.Instant;

/**
 * A document by which a process serves.
 *
 * @param document the document
 * @param appliedAt the time of day when this process applied it, for people
 * @param appliedAtNanos the same moment on the monotonic clock, for measuring
 */
public record DocumentInForce(ServiceDocument document, Instant appliedAt, long appliedAtNanos) {}
