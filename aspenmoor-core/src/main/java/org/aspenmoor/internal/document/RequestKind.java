package org.aspenmoor.internal.document;

import java.time.Duration;

/**
 * A kind of request with its weight and limits.
 *
 * @param name its name, unique within the document
 * @param match the criteria for requests of this kind
 * @param weight the value of one completed request; requests with a greater weight are served first
 * @param deadline the time within which the complete answer is useful
 * @param idempotent whether a request may run more than once
 * @param longestOutputTokens the maximum number of output tokens; 0 for plain services
 */
public record RequestKind(
        String name, KindMatch match, double weight, Duration deadline, boolean idempotent, int longestOutputTokens) {}
