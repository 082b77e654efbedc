package org.aspenmoor.internal.gateway.peers;

import java.util.List;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.usage.EntryUsage;

/** Receives what other entries send. Called on the event loop. */
public interface PeerListener {
    /** A report of another entry's load has arrived. */
    void reportReceived(PeerReport report);

    /** Another entry has announced changes of its load since its last report. */
    void loadChangesReceived(LoadChanges changes);

    /** Counts of another entry have arrived. */
    void usageReceived(EntryUsage usage);

    /**
     * Another entry has told which software versions began streams.
     *
     * @param record whether this entry is to write them to the store
     */
    void streamsTold(List<KnownStream> streams, boolean record);

    /** Another entry asks which software version began a stream; returns the reply. */
    OriginReply originAsked(OriginQuestion question);

    /** Another entry has replied to a question of this one. */
    void originReplied(OriginReply reply);
}
