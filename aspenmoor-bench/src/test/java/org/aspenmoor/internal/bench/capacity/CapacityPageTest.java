package org.aspenmoor.internal.bench.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

public class CapacityPageTest {
    @Test
    public void should_replace_only_what_stands_between_the_markers() throws IOException {
        Path file = Files.createTempFile("capacity", ".md");
        Files.writeString(file, "before\n<!-- slopes:begin -->\nold\n<!-- slopes:end -->\nafter\n");

        CapacityPage page = new CapacityPage(file);
        page.put("slopes", List.of("| a |", "| b |"));
        page.save();

        assertEquals(
                Files.readString(file), "before\n<!-- slopes:begin -->\n| a |\n| b |\n<!-- slopes:end -->\nafter\n");
        Files.delete(file);
    }

    @Test
    public void should_refuse_a_page_without_markers() throws IOException {
        Path file = Files.createTempFile("capacity", ".md");
        CapacityPage page = new CapacityPage(file);

        assertThrows(IllegalStateException.class, () -> page.put("slopes", List.of()));
        Files.delete(file);
    }

    @Test
    public void should_say_when_a_sum_breaks_the_budget() {
        BudgetTable table = new BudgetTable();
        table.add(BudgetLine.ofWork(
                "chatter", Figure.NONE, Figure.exact(2001), Figure.exact(20), "none", Standing.PLANNED));

        assertTrue(table.rows(true).getLast().contains("over budget"));
        assertTrue(!table.rows(false).getLast().contains("over budget"));
    }

    @Test
    public void should_reach_every_process_of_a_small_fleet() {
        FleetPlan plan = new FleetPlan(18, 36);

        TrialResult result = new DisseminationTrial(plan, 20, TrialFaults.none(), 7).run(60, 5);

        assertEquals(result.changes(), 5);
        assertTrue(result.mostSeconds() < Aim.SECONDS_IN_FORCE);
    }
}
