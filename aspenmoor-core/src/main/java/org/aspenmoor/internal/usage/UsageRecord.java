package org.aspenmoor.internal.usage;

import java.util.List;

/**
 * What is stored about usage: the windows that are decided, and the reports that may not have been received yet.
 *
 * @param generation the generation of the store's history in which the record was written
 * @param lastDecided the last window that is decided or given up; earlier ones are too
 * @param unsent the decided reports that the receiver may not have, in the order of their windows
 */
record UsageRecord(long generation, long lastDecided, List<UsageReport> unsent) {
    UsageRecord {
        unsent = List.copyOf(unsent);
    }
}
