package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;

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
        long start,
        long sequence,
        Map<String, PeerShare> shares,
        List<PlacedPrompt> prompts,
        List<LearntSpeed> speeds,
        List<EventLength> lengths,
        List<RoleChange> changes,
        List<ServerTermination> ends,
        boolean leaving) {
    public PeerReport {
        shares = Map.copyOf(shares);
        prompts = List.copyOf(prompts);
        speeds = List.copyOf(speeds);
        lengths = List.copyOf(lengths);
        changes = List.copyOf(changes);
        ends = List.copyOf(ends);
    }
}
