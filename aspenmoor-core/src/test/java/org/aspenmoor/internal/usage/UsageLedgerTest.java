package org.aspenmoor.internal.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UsageLedgerTest {
    private UsageLedger ledger;

    @BeforeMethod
    public void start() {
        ledger = new UsageLedger();
    }

    // Messages are lost, repeated and overtake each other; each request must still count once.
    @Test
    public void should_count_each_request_once_when_messages_are_repeated_or_out_of_order() {
        ledger.add(usage("one", 1, Map.of("house", 5L, "hall", 1L)));
        ledger.add(usage("one", 1, Map.of("house", 3L)));
        ledger.add(usage("one", 1, Map.of("house", 5L)));
        ledger.add(usage("two", 1, Map.of("house", 2L)));

        assertEquals(ledger.totals(7), Map.of("house", 7L, "hall", 1L));
    }

    // An entry that restarts counts from zero. What it counted before must not be replaced.
    @Test
    public void should_add_the_counts_of_an_entry_before_and_after_its_restart() {
        ledger.add(usage("one", 1, Map.of("house", 5L)));
        ledger.add(usage("one", 2, Map.of("house", 2L)));

        assertEquals(ledger.totals(7), Map.of("house", 7L));
    }

    @Test
    public void should_be_complete_when_all_entries_have_finished_counting() {
        ledger.add(new EntryUsage("one", 1, 7, true, Map.of()));
        ledger.add(new EntryUsage("two", 1, 7, false, Map.of()));

        assertTrue(ledger.complete(7, List.of("one")));
        assertFalse(ledger.complete(7, List.of("one", "two")));
        assertFalse(ledger.complete(8, List.of("one")));
    }

    @Test
    public void should_keep_a_bounded_number_of_windows() {
        for (long window = 0; window < 100; window++) {
            ledger.add(new EntryUsage("one", 1, window, true, Map.of()));
        }

        assertTrue(ledger.known(99));
        assertFalse(ledger.known(99 - UsageLedger.MAX_WINDOWS));
    }

    private static EntryUsage usage(String entry, long incarnation, Map<String, Long> counts) {
        return new EntryUsage(entry, incarnation, 7, false, counts);
    }
}
