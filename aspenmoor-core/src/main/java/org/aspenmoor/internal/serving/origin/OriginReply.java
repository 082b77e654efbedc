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
 * @param informed whether it has known all versions at some time since it last began to see the servers without a gap;
 *     otherwise that it does not know of another version means nothing
 */
public record OriginReply(
        String entry, long number, OriginKnowledge origin, List<VersionSighting> versions, boolean informed) {
    public OriginReply {
        versions = List.copyOf(versions);
    }
}
