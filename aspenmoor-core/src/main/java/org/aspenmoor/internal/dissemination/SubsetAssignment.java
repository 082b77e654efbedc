package org.aspenmoor.internal.dissemination;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The links between the entries and the agents of one group. */
public final class SubsetAssignment {
    private final Map<String, List<String>> agentsByEntry;
    private final Map<String, List<String>> entriesByAgent;

    SubsetAssignment(Map<String, List<String>> agentsByEntry, Map<String, List<String>> entriesByAgent) {
        this.agentsByEntry = agentsByEntry;
        this.entriesByAgent = entriesByAgent;
    }

    /** Returns the agents that an entry links to. */
    public List<String> agentsOf(String entry) {
        return List.copyOf(agentsByEntry.getOrDefault(entry, List.of()));
    }

    /** Returns the entries that link to an agent; the first one pushes new documents to it. */
    public List<String> entriesOf(String agent) {
        return List.copyOf(entriesByAgent.getOrDefault(agent, List.of()));
    }

    /** Returns the agents to which an entry pushes new documents. */
    public List<String> primaryAgentsOf(String entry) {
        return agentsOf(entry).stream()
                .filter(agent -> entriesOf(agent).getFirst().equals(entry))
                .collect(Collectors.toList());
    }
}
