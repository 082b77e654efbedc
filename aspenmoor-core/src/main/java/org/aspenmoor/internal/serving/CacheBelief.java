package org.aspenmoor.internal.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which prompt parts an engine probably keeps, from what entries placed there; the least recently used yield first.
 *
 * <p>Only a hint: a report of another entry may be lost, and an engine may drop anything. A wrong hint costs the time of
 * computing a part again, never a wrong answer.
 */
final class CacheBelief {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int FIRST_CAPACITY = 64;

    private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(FIRST_CAPACITY, LOAD_FACTOR, true);
    private int mostTokens;
    private int tokens;

    /** Sets how many tokens the engine's memory holds. */
    void limit(int newMostTokens) {
        mostTokens = newMostTokens;
    }

    /** Notes that the engine computes a prompt and so holds its parts. */
    void placed(List<PromptPart> placed) {
        for (PromptPart part : placed) {
            Integer before = parts.put(part.identity(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<String, Integer>> oldest = parts.entrySet().iterator();
        while (tokens > mostTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Returns how many tokens at the beginning of the prompt need no computing. */
    int cachedTokens(Prompt prompt) {
        int cached = 0;
        for (PromptPart part : prompt.parts()) {
            if (!parts.containsKey(part.identity())) {
                break;
            }
            cached += part.tokens();
        }
        return Math.min(cached, prompt.promptTokens());
    }
}
