package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.List;

/** What a tracker needs of its process to talk to the other entries. Messages may get lost and come late. */
public interface OriginNetwork {
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

    /** Runs an action after a delay, on the thread of the tracker. */
    void schedule(Duration delay, Runnable action);
}
