package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SubsetSelectorTest {
    private static final int MIN_ENTRIES = 3;
    private static final int MIN_AGENTS = 4;

    private final SubsetSelector selector = new SubsetSelector(MIN_ENTRIES, MIN_AGENTS);

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{44, 8}, {44, 200}, {3, 8}, {2, 3}, {45, 1}, {10, 100}};
    }

    @Test(dataProvider = "sizes")
    public void should_keep_both_sides_linked_within_bounds(int entries, int agents) {
        List<String> entryNames = names("entry", entries);
        List<String> agentNames = names("agent", agents);

        SubsetAssignment assignment = selector.select(entryNames, agentNames);

        int entriesPerAgent = Math.min(entries, Math.max(MIN_ENTRIES, Math.ceilDiv(entries * MIN_AGENTS, agents)));
        int maxAgents = Math.max(MIN_AGENTS, (int) Math.ceil(1.25 * agents * entriesPerAgent / entries));
        for (String agent : agentNames) {
            assertTrue(assignment.entriesOf(agent).size() >= Math.min(MIN_ENTRIES, entries), agent);
        }
        for (String entry : entryNames) {
            int links = assignment.agentsOf(entry).size();
            assertTrue(links >= Math.min(MIN_AGENTS, agents) && links <= maxAgents, entry + " has " + links);
        }
    }

    @Test
    public void should_select_the_same_links_when_the_view_is_in_another_order() {
        List<String> entries = names("entry", 44);
        List<String> agents = names("agent", 20);
        List<String> shuffled = new ArrayList<>(entries);
        Collections.shuffle(shuffled, new Random(7));

        assertEquals(links(entries, agents), links(shuffled, agents));
    }

    // The host of an entry fails, which happens about once an hour. Every additional link that changes costs a new
    // connection and the load data collected on the old one, so that entries know less about the load of the engines.
    @Test
    public void should_create_few_new_links_when_one_entry_leaves() {
        List<String> entries = names("entry", 44);
        List<String> agents = names("agent", 200);
        Set<String> before = links(entries, agents);

        int created = 0;
        for (String leaving : entries) {
            List<String> remaining = new ArrayList<>(entries);
            remaining.remove(leaving);
            Set<String> newLinks = links(remaining, agents);
            newLinks.removeAll(before);
            created += newLinks.size();
        }

        int lostLinks = before.size();
        assertTrue(created < 2 * lostLinks, created + " new links for " + lostLinks + " lost ones");
    }

    @Test
    public void should_give_each_agent_exactly_one_primary_entry() {
        List<String> entries = names("entry", 10);
        List<String> agents = names("agent", 30);
        SubsetAssignment assignment = selector.select(entries, agents);

        List<String> primaryAgents = new ArrayList<>();
        entries.forEach(entry -> primaryAgents.addAll(assignment.primaryAgentsOf(entry)));

        Collections.sort(primaryAgents);
        Collections.sort(agents);
        assertEquals(primaryAgents, agents);
    }

    private Set<String> links(List<String> entries, List<String> agents) {
        SubsetAssignment assignment = selector.select(entries, agents);
        Set<String> links = new HashSet<>();
        agents.forEach(agent -> assignment.entriesOf(agent).forEach(entry -> links.add(entry + " " + agent)));
        return links;
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            names.add(prefix + "-" + index);
        }
        return names;
    }
}
