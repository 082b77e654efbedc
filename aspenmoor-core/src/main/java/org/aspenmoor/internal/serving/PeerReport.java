package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.serving.limit.StatedLimit;
import org.aspenmoor.internal.serving.origin.VersionSighting;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;

/**
 * A load report from another entry.
 *
 * @param entry the sender's name
 * @param incarnation distinguishes restarts of the sender
 * @param sequence increases with each report of one incarnation
 * @param loads the sender's load by backend server
 * @param prompts the prompts it has assigned since its previous report
 * @param speeds the engine speeds it has measured
 * @param eventSizes the event sizes it has measured
 * @param roleChanges role changes that it has ordered and that are in progress
 * @param serverTerminations the servers that terminated while they had a request
 * @param limits the limits that servers have stated, as far as it knows
 * @param drainingServers the servers that have announced that they are draining, while their registrations say
 *     otherwise
 * @param versions the software versions of services that have several
 * @param duties its part in the duties that one entry performs for all; empty if there are none
 * @param orderStanding what decides whether it gives orders to engines
 * @param measurements what it measured of the servers, the organisations and the store
 * @param stopping whether the sender is stopping
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
        List<ServerTermination> serverTerminations,
        List<StatedLimit> limits,
        List<ServerIncarnation> drainingServers,
        List<VersionSighting> versions,
        Optional<DutyStatus> duties,
        OrderStanding orderStanding,
        PeerMeasurements measurements,
        boolean stopping) {
    public PeerReport {
        loads = Map.copyOf(loads);
        prompts = List.copyOf(prompts);
        speeds = List.copyOf(speeds);
        eventSizes = List.copyOf(eventSizes);
        roleChanges = List.copyOf(roleChanges);
        serverTerminations = List.copyOf(serverTerminations);
        limits = List.copyOf(limits);
        drainingServers = List.copyOf(drainingServers);
        versions = List.copyOf(versions);
    }
}
