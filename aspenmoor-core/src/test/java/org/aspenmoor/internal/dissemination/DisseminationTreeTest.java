package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class DisseminationTreeTest {
    private static final int RELAYS = 3;
    private static final int FORWARDERS = 6;

    private final RelaySelector relaySelector = new RelaySelector(RELAYS);
    private final DisseminationTree tree = new DisseminationTree(relaySelector, FORWARDERS);

    @Test
    public void should_push_to_each_entry_of_the_data_centre_exactly_once() {
        List<EntryMember> entries = fleet(9, 44);
        Map<String, Integer> pushes = new HashMap<>();

        entries.forEach(entry -> tree.neighboursOfEntry(entry, entries, List.of())
                .pushTargets()
                .forEach(target -> pushes.merge(target, 1, Integer::sum)));

        assertEquals(pushes.size(), entries.size() - 9 * RELAYS);
        assertEquals(Collections.max(pushes.values()).intValue(), 1);
    }

    @Test
    public void should_bound_the_push_targets_of_each_entry() {
        List<EntryMember> entries = fleet(9, 44);

        for (EntryMember entry : entries) {
            int targets = tree.neighboursOfEntry(entry, entries, List.of())
                    .pushTargets()
                    .size();
            assertTrue(targets <= 8, entry + " pushes to " + targets);
        }
    }

    @Test
    public void should_link_entries_without_a_full_mesh() {
        List<EntryMember> entries = fleet(9, 44);
        int links = 0;
        for (EntryMember entry : entries) {
            links += tree.neighboursOfEntry(entry, entries, List.of()).links().size();
        }

        assertTrue(links <= entries.size() * 12, "links: " + links);
    }

    // The host of a relay fails. If all relays were then replaced, all watches would restart at the same time and use
    // up the store's request budget while changes have to be delivered.
    @Test
    public void should_replace_only_the_failed_relay_when_a_relay_fails() {
        List<EntryMember> entries = fleet(1, 44);
        List<String> before = relaySelector.relays("dc-0", entries);

        List<EntryMember> remaining = new ArrayList<>(entries);
        remaining.removeIf(entry -> entry.process().equals(before.getFirst()));
        List<String> after = relaySelector.relays("dc-0", remaining);

        assertEquals(after.subList(0, RELAYS - 1), before.subList(1, RELAYS));
        assertEquals(after.size(), RELAYS);
    }

    @Test
    public void should_push_to_agents_when_there_is_a_single_entry() {
        List<EntryMember> entries = fleet(1, 1);

        Neighbours neighbours = tree.neighboursOfEntry(entries.getFirst(), entries, List.of("agent-1"));

        assertTrue(neighbours.relay());
        assertEquals(neighbours.pushTargets(), List.of("agent-1"));
        assertEquals(neighbours.repairPartners(), List.of());
    }

    private static List<EntryMember> fleet(int dataCentres, int entriesEach) {
        List<EntryMember> entries = new ArrayList<>();
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int index = 0; index < entriesEach; index++) {
                entries.add(new EntryMember("dc-" + dataCentre + "-entry-" + index, "dc-" + dataCentre));
            }
        }
        return entries;
    }
}
