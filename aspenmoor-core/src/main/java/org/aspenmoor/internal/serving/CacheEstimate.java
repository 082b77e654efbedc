package org.aspenmoor.internal.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Which prompt parts an engine probably keeps, from what entries placed there; the least recently used yield first.
 *
 * <p>Only a hint: a report of another entry may be lost, and an engine may drop anything. A wrong hint costs the time of
 * computing a part again, never a wrong answer.
 */
final class CacheEstimate {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 64;

    private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private int capacityTokens;
    private int tokens;

    /** Sets how many tokens the engine's memory holds. */
    void setCapacity(int newCapacityTokens) {
        capacityTokens = newCapacityTokens;
    }

    /** Returns how many tokens the engine probably keeps. */
    int tokens() {
        return tokens;
    }

    /** Notes that the engine computes a prompt, and when that is probably done. */
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

    /** Returns how many tokens at the beginning of the prompt need no computing behind what the engine has to do. */
    int cachedTokens(Prompt prompt) {
        return cachedPrefixTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Returns how many tokens at the beginning of the prompt another engine can fetch now. A part that is still being
     * computed cannot be fetched; the other engine would compute it a second time.
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
