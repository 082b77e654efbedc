package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the agents that each entry of a data centre links to, with the same result in every process.
 *
 * <p>The selection is made separately for each group of interchangeable engines, such as those that run one model,
 * because an entry needs candidates in every group rather than many links in total.
 */
public final class SubsetSelector {
    private final int minEntriesPerAgent;
    private final int minAgentsPerEntry;

    public SubsetSelector(int minEntriesPerAgent, int minAgentsPerEntry) {
        this.minEntriesPerAgent = minEntriesPerAgent;
        this.minAgentsPerEntry = minAgentsPerEntry;
    }

    /** Selects the links for one group of agents. */
    public SubsetAssignment select(List<String> entries, List<String> agents) {
        BoundedAssignment assignment = new BoundedAssignment(entries, agents, entriesPerAgent(entries, agents));
        Map<String, List<String>> agentsByEntry = new HashMap<>();
        Map<String, List<String>> entriesByAgent = new LinkedHashMap<>();
        agents.forEach(agent -> entriesByAgent.put(agent, new ArrayList<>(assignment.holdersOf(agent))));
        for (String entry : entries) {
            List<String> chosen = new ArrayList<>(assignment.subjectsOf(entry));
            addMissing(entry, chosen, agents, entriesByAgent);
            agentsByEntry.put(entry, chosen);
        }
        return new SubsetAssignment(agentsByEntry, entriesByAgent);
    }

    private int entriesPerAgent(List<String> entries, List<String> agents) {
        if (agents.isEmpty()) {
            return 0;
        }
        int neededPerAgent = Math.ceilDiv(entries.size() * minAgentsPerEntry, agents.size());
        return Math.min(entries.size(), Math.max(minEntriesPerAgent, neededPerAgent));
    }

    private void addMissing(
            String entry, List<String> chosen, List<String> agents, Map<String, List<String>> entriesByAgent) {
        if (chosen.size() >= minAgentsPerEntry) {
            return;
        }
        for (String agent : RendezvousHash.rank(entry, agents)) {
            if (chosen.size() < minAgentsPerEntry && !chosen.contains(agent)) {
                chosen.add(agent);
                entriesByAgent.get(agent).add(entry);
            }
        }
    }
}
