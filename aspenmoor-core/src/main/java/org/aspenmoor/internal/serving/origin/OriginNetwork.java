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

    /**
     * Tells an entry the origins of streams.
     *
     * @param record whether that entry is to write them to the store
     */
    void tell(String entry, List<KnownStream> streams, boolean record);

    /** Asks an entry for the origin of a stream. */
    void ask(String entry, OriginQuestion question);

    /** Sends the known software versions to all other entries now, instead of with the next report. */
    void announceVersions();

    /** Writes to the store what streams this entry may begin; {@link StreamOriginTracker#statementAccepted} follows. */
    void writeStatement(Set<StreamOrigin> origins);

    /** Reads from the store what the entries state; {@link StreamOriginTracker#statementsListed} follows. */
    void listStatements();

    /** Replaces this entry's record of streams in the store. */
    void record(List<KnownStream> streams);

    /** Reads the records of all entries from the store; {@link StreamOriginTracker#recordsLoaded} follows. */
    void loadRecords();

    /** Runs an action after a delay, on the thread of the tracker. */
    void schedule(Duration delay, Runnable action);
}
