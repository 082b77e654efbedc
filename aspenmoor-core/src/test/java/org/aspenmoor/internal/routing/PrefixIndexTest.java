package org.aspenmoor.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PrefixIndexTest {
    private static final int BLOCK_TOKENS = 2_000;
    private static final PrefixChain TWO_BLOCKS = PrefixChain.of(3_500, 1, 2);

    private PrefixIndex index;

    @BeforeMethod
    public void createIndex() {
        index = new PrefixIndex(100);
    }

    @Test
    public void should_count_only_leading_blocks_when_a_later_one_is_missing() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L)));

        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 2_000);
    }

    @Test
    public void should_count_the_complete_prefix_when_all_blocks_are_held() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));

        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 3_500);
    }

    @Test
    public void should_count_no_tokens_when_the_first_block_was_removed() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));
        index.apply("a", 2, new CacheEvent.Removed(List.of(1L)));

        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 0);
    }

    // A lost cache event may have reported the removal of blocks. Requests routed by the outdated entries would then
    // need a complete prefill.
    @Test
    public void should_halve_cached_tokens_when_one_gap_occurred_and_ignore_them_when_two_did() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));

        assertTrue(index.apply("a", 3, new CacheEvent.Stored(List.of(9L))));
        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 1_750);

        assertTrue(index.apply("a", 5, new CacheEvent.Stored(List.of(10L))));
        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 0);
    }

    @Test
    public void should_count_the_complete_prefix_when_a_request_was_sent_after_a_gap() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L, 2L)));
        index.apply("a", 5, new CacheEvent.Stored(List.of(9L)));

        index.recordSent("a", TWO_BLOCKS);

        assertEquals(index.cachedTokens("a", TWO_BLOCKS, BLOCK_TOKENS), 3_500);
    }

    @Test
    public void should_ignore_an_event_when_a_later_one_was_applied() {
        index.apply("a", 5, new CacheEvent.Stored(List.of(1L)));
        index.apply("a", 4, new CacheEvent.Removed(List.of(1L)));

        assertEquals(index.cachedTokens("a", PrefixChain.of(500, 1), BLOCK_TOKENS), 500);
    }

    @Test
    public void should_count_no_tokens_when_the_cache_was_cleared() {
        index.apply("a", 1, new CacheEvent.Stored(List.of(1L)));
        index.apply("a", 2, new CacheEvent.Cleared());

        assertEquals(index.cachedTokens("a", PrefixChain.of(500, 1), BLOCK_TOKENS), 0);
    }

    @Test
    public void should_evict_blocks_when_the_index_is_full() {
        for (long hash = 0; hash < 1_000; hash++) {
            index.apply("a", hash, new CacheEvent.Stored(List.of(hash)));
        }

        assertEquals(index.size(), 100);
    }
}
