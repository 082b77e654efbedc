package org.aspenmoor.internal.serving.origin;

import java.util.List;

/**
 * The reply of an entry to a question.
 *
 * @param entry the entry that replies
 * @param number the number of the question
 * @param origin what it knows
 * @param versions the software versions of the service that may have begun streams which callers still take up, as far as
 *     it knows
 */
public record OriginReply(String entry, long number, OriginKnowledge origin, List<VersionSighting> versions) {
    public OriginReply {
        versions = List.copyOf(versions);
    }
}
