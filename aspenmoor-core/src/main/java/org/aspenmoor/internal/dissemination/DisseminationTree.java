package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The shape in which documents travel: relays, below them forwarders, below them the other entries of the data centre,
 * below them the agents. Each process works out its own place from the live view; where two views differ, digests repair
 * what the tree misses.
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
     * Works out the place of an entry.
     *
     * @param self the entry
     * @param entries all live entries, itself included
     * @param firstAgents the agents that this entry is the first to tell
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

    /** Works out the place of an agent: it is told by the first entry of its subset and asks any of them. */
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
