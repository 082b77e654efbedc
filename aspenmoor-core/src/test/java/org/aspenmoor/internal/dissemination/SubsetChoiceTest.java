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

public class SubsetChoiceTest {
    private static final int LEAST_ENTRIES = 3;
    private static final int LEAST_AGENTS = 4;

    private final SubsetChoice choice = new SubsetChoice(LEAST_ENTRIES, LEAST_AGENTS);

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{44, 8}, {44, 200}, {3, 8}, {2, 3}, {45, 1}, {10, 100}};
    }

    @Test(dataProvider = "sizes")
    public void should_keep_both_sides_linked_within_bounds(int entries, int agents) {
        List<String> entryNames = names("entry", entries);
        List<String> agentNames = names("agent", agents);

        SubsetAssignment assignment = choice.choose(entryNames, agentNames);

        int wanted = Math.min(entries, Math.max(LEAST_ENTRIES, Math.ceilDiv(entries * LEAST_AGENTS, agents)));
        int most = Math.max(LEAST_AGENTS, (int) Math.ceil(1.25 * agents * wanted / entries));
        for (String agent : agentNames) {
            assertTrue(assignment.entriesOf(agent).size() >= Math.min(LEAST_ENTRIES, entries), agent);
        }
        for (String entry : entryNames) {
            int links = assignment.agentsOf(entry).size();
            assertTrue(links >= Math.min(LEAST_AGENTS, agents) && links <= most, entry + " has " + links);
        }
    }

    @Test
    public void should_choose_alike_whatever_the_order_of_the_view() {
        List<String> entries = names("entry", 44);
        List<String> agents = names("agent", 20);
        List<String> shuffled = new ArrayList<>(entries);
        Collections.shuffle(shuffled, new Random(7));

        assertEquals(links(entries, agents), links(shuffled, agents));
    }

    // An entry host fails, as one does every hour. Each link that moves besides its own costs a connection and the load
    // view behind it, and callers meet entries that know little of the engines.
    @Test
    public void should_move_few_links_when_one_entry_leaves() {
        List<String> entries = names("entry", 44);
        List<String> agents = names("agent", 200);
        Set<String> before = links(entries, agents);

        int moved = 0;
        for (String leaving : entries) {
            List<String> remaining = new ArrayList<>(entries);
            remaining.remove(leaving);
            Set<String> fresh = links(remaining, agents);
            fresh.removeAll(before);
            moved += fresh.size();
        }

        int leavingLinks = before.size();
        assertTrue(moved < 2 * leavingLinks, moved + " new links for " + leavingLinks + " lost ones");
    }

    @Test
    public void should_give_each_agent_exactly_one_entry_that_tells_it_first() {
        List<String> entries = names("entry", 10);
        List<String> agents = names("agent", 30);
        SubsetAssignment assignment = choice.choose(entries, agents);

        List<String> told = new ArrayList<>();
        entries.forEach(entry -> told.addAll(assignment.firstAgentsOf(entry)));

        Collections.sort(told);
        Collections.sort(agents);
        assertEquals(told, agents);
    }

    private Set<String> links(List<String> entries, List<String> agents) {
        SubsetAssignment assignment = choice.choose(entries, agents);
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
