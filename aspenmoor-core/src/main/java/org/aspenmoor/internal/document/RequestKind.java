package org.aspenmoor.internal.document;

import java.time.Duration;

/**
 * A kind of request and how much it matters.
 *
 * @param name its name, unique within the document
 * @param match how a request of this kind is recognised
 * @param weight how much one completed request counts; greater goes first
 * @param deadline within which the whole answer is useful
 * @param idempotent whether a request may run more than once
 * @param longestOutputTokens the most tokens an answer may have; 0 for plain services
 */
public record RequestKind(
        String name, KindMatch match, double weight, Duration deadline, boolean idempotent, int longestOutputTokens) {}
