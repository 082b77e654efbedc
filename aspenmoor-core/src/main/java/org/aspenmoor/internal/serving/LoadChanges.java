package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * Changes of one entry's load between two of its reports.
 *
 * @param entry the sender's name
 * @param incarnation distinguishes restarts of the sender
 * @param sequence the sequence number of the report that the changes follow
 * @param changes the changes since that report or since the last message that followed it
 */
public record LoadChanges(String entry, long incarnation, long sequence, List<LoadChange> changes) {
    public LoadChanges {
        changes = List.copyOf(changes);
    }
}
