package org.aspenmoor.internal.gateway.peers;

import java.util.Set;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/** Receives what a {@link PeerDirectory} reads and writes, on its thread. */
public interface PeerDirectoryListener {
    /** The registrations of all entries have been read. */
    void entriesListed(ListedEntries listed);

    /** The store has accepted what this entry states of the streams that it begins. */
    void originsStated(Set<StreamOrigin> origins);
}
