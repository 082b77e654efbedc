package org.aspenmoor.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PrefixIndexTest {
    private static final int PIECE = 2_000;
    private static final PrefixChain TWO_PIECES = PrefixChain.of(3_500, 1, 2);

    private PrefixIndex index;

    @BeforeMethod
    public void start() {
        index = new PrefixIndex(100);
    }

    @Test
    public void should_know_the_first_pieces_only_where_a_later_one_is_missing() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L)));

        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 2_000);
    }

    @Test
    public void should_count_the_whole_prefix_where_all_pieces_are_held() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));

        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 3_500);
    }

    @Test
    public void should_know_nothing_of_pieces_that_were_dropped() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));
        index.apply("a", 2, new CacheEvent.Removed(List.of(1L)));

        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 0);
    }

    // Cache events get lost on their way. The engine may have dropped the pieces in a lost event, so that requests
    // routed to it for its cache compute their whole prompt there.
    @Test
    public void should_believe_old_entries_by_half_after_a_gap_and_not_at_all_after_two() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));

        assertTrue(index.apply("a", 3, new CacheEvent.Stored(List.of(9L))));
        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 1_750);

        assertTrue(index.apply("a", 5, new CacheEvent.Stored(List.of(10L))));
        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 0);
    }

    @Test
    public void should_be_repaired_by_the_next_send() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));
        index.apply("a", 5, new CacheEvent.Stored(List.of(9L)));

        index.sent("a", TWO_PIECES);

        assertEquals(index.cachedTokens("a", TWO_PIECES, PIECE), 3_500);
    }

    @Test
    public void should_ignore_events_that_were_overtaken() {
        index.apply("a", 5, new CacheEvent.Stored(List.of(1L)));
        index.apply("a", 4, new CacheEvent.Removed(List.of(1L)));

        assertEquals(index.cachedTokens("a", PrefixChain.of(500, 1), PIECE), 500);
    }

    @Test
    public void should_forget_everything_of_a_cleared_engine() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L)));
        index.apply("a", 2, new CacheEvent.Cleared());

        assertEquals(index.cachedTokens("a", PrefixChain.of(500, 1), PIECE), 0);
    }

    @Test
    public void should_stay_within_its_bound() {
        for (long hash = 0; hash < 1_000; hash++) {
            index.apply("a", hash, new CacheEvent.Stored(List.of(hash)));
        }

        assertEquals(index.size(), 100);
    }
}
