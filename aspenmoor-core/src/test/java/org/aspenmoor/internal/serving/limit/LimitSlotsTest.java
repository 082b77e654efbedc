package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LimitSlotsTest {
    private static final int MANY_SLOTS = 4000;

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.0}, {0.3}, {0.5}, {1.0}, {2.0}, {5.0}, {5.9}, {20.0}, {30.0}, {500.0}, {10_000.0}};
    }

    // Guards against slots that together exceed the limit, or reserves that exceed what a server tolerates at once.
    @Test(dataProvider = "limits")
    public void should_stay_within_what_a_server_tolerates_when_all_slots_are_used(double limit) {
        LimitSlots slots = LimitSlots.of(limit);

        double total = slots.count() * slots.requestsPerSecond();
        double reserves = slots.count() * slots.reserve();
        assertTrue(total <= Math.max(limit, 0.25) + 1e-9, "slots sum to " + total);
        assertTrue(reserves + 4 * total <= 1.5 * 4 * limit + 5, reserves + " saved up, " + total + " a second");
    }

    // Guards against slots that two entries take for their own, or none does.
    @Test
    public void should_have_the_same_owner_for_a_slot_in_whatever_order_the_entries_are_known() {
        SlotRanking ranking = new SlotRanking("server");
        for (int slot = 0; slot < MANY_SLOTS; slot++) {
            assertEquals(
                    ranking.owner(slot, List.of("one", "two", "three")),
                    ranking.owner(slot, List.of("three", "one", "two")));
        }
    }

    // Guards against slots that change their owners when an entry that has none of them comes or goes.
    @Test
    public void should_move_only_the_slots_of_the_entry_that_goes() {
        SlotRanking ranking = new SlotRanking("server");
        for (int slot = 0; slot < MANY_SLOTS; slot++) {
            String before = ranking.owner(slot, List.of("one", "two", "three"));
            String after = ranking.owner(slot, List.of("one", "two"));
            assertTrue(before.equals(after) || before.equals("three"), before + " became " + after);
        }
    }

    @Test
    public void should_prefer_an_entry_in_proportion_to_its_weight() {
        SlotRanking ranking = new SlotRanking("server");
        Map<String, Integer> counts = new HashMap<>();
        IntStream.range(0, MANY_SLOTS)
                .forEach(slot ->
                        counts.merge(ranking.preferred(slot, Map.of("busy", 3.0, "idle", 1.0)), 1, Integer::sum));

        assertEquals(counts.get("busy") / (double) MANY_SLOTS, 0.75, 0.03);
    }

    // Guards against loans that move slots among entries with the same demand.
    @Test
    public void should_prefer_the_owner_when_all_have_the_same_weight() {
        SlotRanking ranking = new SlotRanking("server");
        for (int slot = 0; slot < MANY_SLOTS; slot++) {
            assertEquals(
                    ranking.preferred(slot, Map.of("one", 4.0, "two", 4.0, "three", 4.0)),
                    ranking.owner(slot, List.of("one", "two", "three")));
        }
    }
}
