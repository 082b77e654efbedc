package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.dissemination.DisseminationTree;
import org.aspenmoor.internal.dissemination.EntryMember;
import org.aspenmoor.internal.dissemination.Neighbours;
import org.aspenmoor.internal.dissemination.RelaySelector;
import org.aspenmoor.internal.dissemination.SubsetAssignment;
import org.aspenmoor.internal.dissemination.SubsetSelector;

/** The planned fleet by name: who stands where, who is linked to whom, and who tells whom of documents. */
final class FleetPlan {
    private final List<EntryMember> entries = new ArrayList<>();
    private final Map<String, String> dataCentreByProcess = new LinkedHashMap<>();
    private final Map<String, List<String>> agentsByEntry = new HashMap<>();
    private final Map<String, Neighbours> neighbours = new LinkedHashMap<>();

    FleetPlan(int entryCount, int agentCount) {
        for (int number = 0; number < entryCount; number++) {
            String dataCentre = dataCentre(number);
            entries.add(new EntryMember("entry-" + number, dataCentre));
            dataCentreByProcess.put("entry-" + number, dataCentre);
        }
        Map<String, List<String>> groups = new LinkedHashMap<>();
        for (int number = 0; number < agentCount; number++) {
            dataCentreByProcess.put("agent-" + number, dataCentre(number));
            String group = dataCentre(number) + " model " + (number / Aim.DATA_CENTRES) % Aim.MODELS;
            groups.computeIfAbsent(group, name -> new ArrayList<>()).add("agent-" + number);
        }
        Map<String, List<String>> firstAgents = new HashMap<>();
        groups.values().forEach(group -> linkGroup(group, firstAgents));
        DisseminationTree tree =
                new DisseminationTree(new RelaySelector(DisseminationTrial.RELAYS), DisseminationTrial.FORWARDERS);
        for (EntryMember entry : entries) {
            List<String> first = firstAgents.getOrDefault(entry.process(), List.of());
            neighbours.put(entry.process(), tree.neighboursOfEntry(entry, entries, first));
        }
    }

    Map<String, Neighbours> neighbours() {
        return neighbours;
    }

    String dataCentreOf(String process) {
        return dataCentreByProcess.get(process);
    }

    int regionOf(String process) {
        int dataCentre = Integer.parseInt(dataCentreOf(process).substring("dc-".length()));
        return dataCentre * Aim.REGIONS / Aim.DATA_CENTRES;
    }

    boolean isEntry(String process) {
        return process.startsWith("entry-");
    }

    List<String> agentsOf(String entry) {
        return agentsByEntry.getOrDefault(entry, List.of());
    }

    private void linkGroup(List<String> group, Map<String, List<String>> firstAgents) {
        String dataCentre = dataCentreOf(group.getFirst());
        List<String> local = entries.stream()
                .filter(entry -> entry.dataCentre().equals(dataCentre))
                .map(EntryMember::process)
                .toList();
        SubsetAssignment assignment = new SubsetSelector(
                        DisseminationTrial.ENTRIES_PER_AGENT, DisseminationTrial.AGENTS_PER_GROUP)
                .select(local, group);
        for (String entry : local) {
            agentsByEntry.computeIfAbsent(entry, name -> new ArrayList<>()).addAll(assignment.agentsOf(entry));
            firstAgents.computeIfAbsent(entry, name -> new ArrayList<>()).addAll(assignment.primaryAgentsOf(entry));
        }
        DisseminationTree tree = new DisseminationTree(new RelaySelector(DisseminationTrial.RELAYS), 0);
        group.forEach(agent -> neighbours.put(agent, tree.neighboursOfAgent(assignment.entriesOf(agent))));
    }

    private static String dataCentre(int number) {
        return "dc-" + number % Aim.DATA_CENTRES;
    }
}
