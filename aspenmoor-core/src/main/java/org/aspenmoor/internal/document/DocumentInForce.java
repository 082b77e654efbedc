package org.aspenmoor.internal.document;

import java.time.Instant;

/**
 * The document that a process currently serves by.
 *
 * @param document the document
 * @param appliedAt when this process applied it, by its clock, for display
 * @param appliedAtNanos the same moment on the monotonic clock, for measuring durations
 */
public record DocumentInForce(ServiceDocument document, Instant appliedAt, long appliedAtNanos) {}
