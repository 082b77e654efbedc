package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;

/**
 * What another entry said of its own part of the load.
 *
 * @param entry its name
 * @param start tells its starts apart
 * @param sequence grows with each report of one start
 * @param shares its part of the load, by backend server
 * @param prompts the prompts it has placed since its last report
 * @param speeds how fast it has found the engines
 * @param lengths how long it has found the events of answers
 * @param changes the orders to engines that it gave and that are being carried out
 * @param ends the servers that have ended while they had a request
 * @param leaving whether it is stopping
 */
public record PeerReport(
        String entry,
        long incarnation,
        long sequence,
        Map<String, EntryLoad> loads,
        List<AssignedPrompt> prompts,
        List<LearnedSpeed> speeds,
        List<EventSize> eventSizes,
        List<RoleChange> roleChanges,
        List<ServerEnd> serverTerminations,
        boolean leaving) {
    public PeerReport {
        loads = Map.copyOf(loads);
        prompts = List.copyOf(prompts);
        speeds = List.copyOf(speeds);
        eventSizes = List.copyOf(eventSizes);
        roleChanges = List.copyOf(roleChanges);
        serverTerminations = List.copyOf(serverTerminations);
    }
}
