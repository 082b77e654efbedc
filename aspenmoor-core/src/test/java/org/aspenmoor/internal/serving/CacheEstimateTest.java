package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CacheEstimateTest {
    private CacheEstimate cache;

    @BeforeMethod
    public void createEstimate() {
        cache = new CacheEstimate();
        cache.setCapacity(1000);
    }

    @Test
    public void should_count_only_the_cached_prefix() {
        cache.promptAssigned(prompt("a", "b").parts(), 0);

        assertEquals(cache.cachedTokens(prompt("a", "b", "c")), 200);
        assertEquals(cache.cachedTokens(prompt("a", "x", "b")), 100);
        assertEquals(cache.cachedTokens(prompt("b", "a")), 200);
        assertEquals(cache.cachedTokens(prompt("x", "a")), 0);
    }

    @Test
    public void should_evict_the_least_recently_used_part() {
        for (int number = 0; number < 10; number++) {
            cache.promptAssigned(prompt("part-" + number).parts(), 0);
        }
        cache.cachedTokens(prompt("part-0"));
        cache.promptAssigned(prompt("one-more").parts(), 0);

        assertEquals(cache.cachedTokens(prompt("part-0")), 100);
        assertEquals(cache.cachedTokens(prompt("part-1")), 0);
    }

    // An entry has just assigned a prompt, and another entry receives the same prompt. A transfer from an engine that
    // is still computing it would return nothing, and the prompt would be computed a second time.
    @Test
    public void should_not_transfer_a_part_while_it_is_being_computed() {
        cache.promptAssigned(prompt("a").parts(), 500);

        assertEquals(cache.cachedTokens(prompt("a")), 100);
        assertEquals(cache.transferableTokens(prompt("a"), 499), 0);
        assertEquals(cache.transferableTokens(prompt("a"), 500), 100);
        cache.promptAssigned(prompt("a").parts(), 900);
        assertEquals(
                cache.transferableTokens(prompt("a"), 500),
                100,
                "a cached part must stay available when it is assigned again");
    }

    private static Prompt prompt(String... parts) {
        List<PromptPart> all =
                List.of(parts).stream().map(part -> new PromptPart(part, 100)).toList();
        return new Prompt("m", 100 * parts.length, 10, Optional.empty(), all);
    }
}
