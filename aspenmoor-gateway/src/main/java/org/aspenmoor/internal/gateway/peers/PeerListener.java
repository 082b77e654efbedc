package org.aspenmoor.internal.gateway.peers;

import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.usage.EntryUsage;

/** Receives what other entries send. Called on the event loop. */
public interface PeerListener {
    /** A report of another entry's load has arrived. */
    void reportReceived(PeerReport report);

    /** Counts of another entry have arrived. */
    void usageReceived(EntryUsage usage);
}
