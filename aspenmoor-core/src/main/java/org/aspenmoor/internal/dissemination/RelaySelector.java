package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.List;

/**
 * Selects the entries of a data centre that watch the store. Every process with the same view of live entries selects the
 * same relays without exchanging messages.
 */
public final class RelaySelector {
    private static final String SUBJECT = "document relay ";

    private final int relaysPerDataCentre;

    public RelaySelector(int relaysPerDataCentre) {
        this.relaysPerDataCentre = relaysPerDataCentre;
    }

    /** Returns the relays of a data centre, the highest ranked first. */
    public List<String> relays(String dataCentre, Collection<EntryMember> entries) {
        List<String> ranked = rank(dataCentre, entries);
        return ranked.subList(0, Math.min(relaysPerDataCentre, ranked.size()));
    }

    /** Returns all entries of a data centre in the order in which they are selected as relays. */
    List<String> rank(String dataCentre, Collection<EntryMember> entries) {
        List<String> local = entries.stream()
                .filter(entry -> entry.dataCentre().equals(dataCentre))
                .map(EntryMember::process)
                .toList();
        return RendezvousHash.rank(SUBJECT + dataCentre, local);
    }
}
