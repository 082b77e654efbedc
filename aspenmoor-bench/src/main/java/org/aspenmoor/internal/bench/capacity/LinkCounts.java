package org.aspenmoor.internal.bench.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * How many links the planned fleet has.
 *
 * @param agentsPerEntry mean number of agents an entry links to
 * @param mostAgentsPerEntry that of the entry with the most
 * @param entriesPerAgent mean number of entries that link to an agent
 * @param documentLinksPerEntry mean number of other entries an entry exchanges documents with
 * @param documentLinksPerRelay the same for a relay, with those that link to it
 */
record LinkCounts(
        double agentsPerEntry,
        double mostAgentsPerEntry,
        double entriesPerAgent,
        double documentLinksPerEntry,
        double documentLinksPerRelay) {

    static LinkCounts of(FleetPlan plan) {
        Map<String, Integer> inbound = new HashMap<>();
        plan.neighbours().forEach((process, neighbours) -> {
            if (plan.isEntry(process)) {
                neighbours.links().stream().filter(plan::isEntry).forEach(peer -> inbound.merge(peer, 1, Integer::sum));
            }
        });
        double links = 0;
        double most = 0;
        double document = 0;
        double relayDocument = 0;
        int entries = 0;
        int relays = 0;
        for (String process : plan.neighbours().keySet()) {
            if (!plan.isEntry(process)) {
                continue;
            }
            int agents = plan.agentsOf(process).size();
            int peers = inbound.getOrDefault(process, 0);
            boolean relay = plan.neighbours().get(process).relay();
            entries++;
            links += agents;
            most = Math.max(most, agents);
            document += peers;
            relays += relay ? 1 : 0;
            relayDocument += relay ? peers : 0;
        }
        return new LinkCounts(
                links / entries, most, links / Aim.ENGINES, document / entries, relayDocument / Math.max(1, relays));
    }
}
