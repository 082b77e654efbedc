package org.aspenmoor.internal.serving.entries;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KnownEntriesTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration LENDING = Duration.ofSeconds(3);

    private KnownEntries entries;

    @BeforeMethod
    public void createEntries() {
        entries = new KnownEntries("one");
    }

    // Guards against bounds that are divided by the entries that are heard, and exceeded by those that are not.
    @Test
    public void should_count_an_entry_that_is_registered_and_not_heard() {
        entries.listed(listing(Map.of("one", "1", "two", "1", "three", "1")), 0);

        assertEquals(entries.others(), Set.of("two", "three"));
        assertEquals(entries.count(), 3);
    }

    // Guards against parts that are lost for good with the entries of hosts that were removed.
    @Test
    public void should_no_longer_count_an_entry_that_neither_renews_its_registration_nor_is_heard() {
        entries.listed(listing(Map.of("silent", "1", "renewed", "1", "heard", "1")), 0);

        entries.heard("heard", 170 * SECOND);
        entries.listed(listing(Map.of("silent", "1", "renewed", "2", "heard", "1")), 181 * SECOND);

        assertEquals(entries.others(), Set.of("renewed", "heard"));
    }

    // Guards against an entry that is forgotten because the store has lost its registration.
    @Test
    public void should_count_an_entry_on_when_its_registration_is_missing_for_a_while() {
        entries.listed(listing(Map.of("two", "1")), 0);

        entries.listed(listing(Map.of()), 10 * SECOND);

        assertEquals(entries.others(), Set.of("two"));
    }

    @Test
    public void should_use_no_own_part_before_the_registrations_are_read_and_loans_of_an_earlier_process_are_over() {
        assertFalse(entries.mayUseOwnPart(LENDING, 0));

        entries.listed(listing(Map.of("one", "1")), 10 * SECOND);

        assertFalse(entries.mayUseOwnPart(LENDING, 13 * SECOND));
        assertTrue(entries.mayUseOwnPart(LENDING, 13 * SECOND + 1));
    }

    // Guards against an entry that takes its part while the others, which have not read its registration, use it.
    @Test
    public void should_use_no_own_part_until_the_others_have_read_a_new_registration() {
        entries.listed(new EntryListing(Map.of("one", "1", "two", "1"), 0, Optional.of(0L)), 0);

        assertFalse(entries.mayUseOwnPart(LENDING, 15 * SECOND));
        assertFalse(entries.complete(12 * SECOND));
        assertTrue(entries.mayUseOwnPart(LENDING, 15 * SECOND + 1));
        assertTrue(entries.complete(12 * SECOND + 1));
    }

    // Guards against an entry that goes on with its part when the others have stopped to count it.
    @Test
    public void should_use_no_own_part_when_the_registration_could_not_be_renewed() {
        entries.listed(listing(Map.of("one", "1")), 0);

        assertTrue(entries.mayUseOwnPart(LENDING, 119 * SECOND));
        assertFalse(entries.mayUseOwnPart(LENDING, 120 * SECOND));
    }

    private static EntryListing listing(Map<String, String> versions) {
        return new EntryListing(versions, 0, Optional.empty());
    }
}
