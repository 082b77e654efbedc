package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The tree along which documents are pushed: relays at the top, then forwarders, then the other entries of the data
 * centre, then the agents. Each process computes its own position from its view of the live entries. If the views of two
 * processes differ, the comparison of digests delivers what the tree misses.
 */
public final class DisseminationTree {
    private static final int REMOTE_RELAYS = 2;

    private final RelaySelector relaySelector;
    private final int forwardersPerDataCentre;

    public DisseminationTree(RelaySelector relaySelector, int forwardersPerDataCentre) {
        this.relaySelector = relaySelector;
        this.forwardersPerDataCentre = forwardersPerDataCentre;
    }

    /**
     * Computes the neighbours of an entry.
     *
     * @param self the entry
     * @param entries all live entries, including {@code self}
     * @param primaryAgents the agents to which this entry pushes new documents
     */
    public Neighbours neighboursOfEntry(EntryMember self, Collection<EntryMember> entries, List<String> primaryAgents) {
        List<String> ranked = relaySelector.rank(self.dataCentre(), entries);
        List<String> relays = relaySelector.relays(self.dataCentre(), entries);
        List<String> others = ranked.subList(relays.size(), ranked.size());
        List<String> forwarders = others.subList(0, Math.min(forwardersPerDataCentre, others.size()));
        List<String> leaves = others.subList(forwarders.size(), others.size());
        List<String> pushTargets = new ArrayList<>(primaryAgents);
        List<String> partners = new ArrayList<>(relays);
        partners.remove(self.process());
        if (relays.contains(self.process())) {
            pushTargets.addAll(childrenOf(self.process(), relays, forwarders));
            partners.addAll(remoteRelays(self, entries));
            return new Neighbours(true, pushTargets, partners);
        }
        if (forwarders.contains(self.process())) {
            pushTargets.addAll(childrenOf(self.process(), forwarders, leaves));
            return new Neighbours(false, pushTargets, partners);
        }
        partners.addAll(forwarders);
        return new Neighbours(false, pushTargets, partners);
    }

    /** Computes the neighbours of an agent. The first entry of its subset pushes to it; it compares with all of them. */
    public Neighbours neighboursOfAgent(List<String> entriesOfSubset) {
        return new Neighbours(false, List.of(), entriesOfSubset);
    }

    private static List<String> childrenOf(String parent, List<String> parents, List<String> children) {
        return new BoundedAssignment(parents, children, 1).subjectsOf(parent);
    }

    private List<String> remoteRelays(EntryMember self, Collection<EntryMember> entries) {
        TreeSet<String> dataCentres = new TreeSet<>();
        entries.forEach(entry -> dataCentres.add(entry.dataCentre()));
        dataCentres.remove(self.dataCentre());
        List<String> remote = new ArrayList<>();
        for (String dataCentre : RendezvousHash.rank(self.process(), dataCentres)) {
            if (remote.size() == REMOTE_RELAYS) {
                break;
            }
            List<String> relays = relaySelector.relays(dataCentre, entries);
            remote.add(RendezvousHash.rank(self.process(), relays).getFirst());
        }
        return remote;
    }
}
