package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * What a tracker needs of its process to talk to the other entries, and to the store. Messages may get lost and come late.
 */
public interface OriginNetwork {
    /** Returns the name of this entry. */
    String ownEntry();

    /** Returns the other entries from which reports are received. */
    List<String> activeEntries();

    /** Returns all other entries whose addresses are known, whether they are active or not. */
    List<String> registeredEntries();

    /** Tells an entry the origins of streams. */
    void tell(String entry, List<KnownStream> streams);

    /** Asks an entry for the origin of a stream. */
    void ask(String entry, OriginQuestion question);

    /** Sends the known software versions to all other entries now, instead of with the next report. */
    void announceVersions();

    /** Writes to the store what streams this entry may begin; {@link StreamOriginTracker#stated} follows. */
    void state(Set<StreamOrigin> origins);

    /** Reads from the store what the entries state; {@link StreamOriginTracker#listed} follows. */
    void listStatements();

    /** Runs an action after a delay, on the thread of the tracker. */
    void schedule(Duration delay, Runnable action);
}
