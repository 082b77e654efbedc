package org.aspenmoor.internal.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Estimates which prompt parts an engine has cached, from the prompts that entries assigned to it. The least recently
 * used parts are evicted first.
 *
 * <p>The estimate is only a hint: reports of other entries may be lost, and an engine may evict any part. A wrong hint
 * costs the time to compute a part again but never leads to a wrong answer.
 */
final class CacheEstimate {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 64;

    private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private int capacityTokens;
    private int tokens;

    /** Sets how many tokens the engine's cache can hold. */
    void setCapacity(int newCapacityTokens) {
        capacityTokens = newCapacityTokens;
    }

    /** Returns how many tokens the engine has probably cached. */
    int tokens() {
        return tokens;
    }

    /**
     * Records that a prompt was assigned to the engine.
     *
     * @param assigned the parts of the prompt
     * @param computedAt when the parts are probably computed, in nanoseconds
     */
    void promptAssigned(List<PromptPart> assigned, long computedAt) {
        for (PromptPart part : assigned) {
            CachedPart known = parts.get(part.identity());
            long availableAt = known == null ? computedAt : Math.min(known.availableAt(), computedAt);
            parts.put(part.identity(), new CachedPart(part.tokens(), availableAt));
            tokens += part.tokens() - (known == null ? 0 : known.tokens());
        }
        Iterator<CachedPart> leastRecentlyUsed = parts.values().iterator();
        while (tokens > capacityTokens && leastRecentlyUsed.hasNext()) {
            tokens -= leastRecentlyUsed.next().tokens();
            leastRecentlyUsed.remove();
        }
    }

    /**
     * Returns how many tokens at the beginning of the prompt are cached once the engine has finished its queued work.
     */
    int cachedTokens(Prompt prompt) {
        return cachedPrefixTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Returns how many tokens at the beginning of the prompt can be transferred to another engine now. A part that is
     * still being computed cannot be transferred; the other engine would compute it a second time.
     */
    int transferableTokens(Prompt prompt, long now) {
        return cachedPrefixTokens(prompt, now);
    }

    private int cachedPrefixTokens(Prompt prompt, long availableBy) {
        int cached = 0;
        for (PromptPart part : prompt.parts()) {
            CachedPart known = parts.get(part.identity());
            if (known == null || known.availableAt() > availableBy) {
                break;
            }
            cached += part.tokens();
        }
        return Math.min(cached, prompt.promptTokens());
    }

    private record CachedPart(int tokens, long availableAt) {}
}
