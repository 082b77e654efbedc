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
final class CacheBelief {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int FIRST_CAPACITY = 64;

    private final LinkedHashMap<String, KeptPart> parts = new LinkedHashMap<>(FIRST_CAPACITY, LOAD_FACTOR, true);
    private int mostTokens;
    private int tokens;

    /** Sets how many tokens the engine's memory holds. */
    void limit(int newMostTokens) {
        mostTokens = newMostTokens;
    }

    /** Returns how many tokens the engine probably keeps. */
    int tokens() {
        return tokens;
    }

    /** Notes that the engine computes a prompt, and when that is probably done. */
    void placed(List<PromptPart> placed, long doneAt) {
        for (PromptPart part : placed) {
            KeptPart before = parts.get(part.identity());
            long keptFrom = before == null ? doneAt : Math.min(before.from(), doneAt);
            parts.put(part.identity(), new KeptPart(part.tokens(), keptFrom));
            tokens += part.tokens() - (before == null ? 0 : before.tokens());
        }
        Iterator<KeptPart> oldest = parts.values().iterator();
        while (tokens > mostTokens && oldest.hasNext()) {
            tokens -= oldest.next().tokens();
            oldest.remove();
        }
    }

    /** Returns how many tokens at the beginning of the prompt need no computing behind what the engine has to do. */
    int cachedTokens(Prompt prompt) {
        return keptTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Returns how many tokens at the beginning of the prompt another engine can fetch now. A part that is still being
     * computed cannot be fetched; the other engine would compute it a second time.
     */
    int fetchableTokens(Prompt prompt, long now) {
        return keptTokens(prompt, now);
    }

    private int keptTokens(Prompt prompt, long latest) {
        int kept = 0;
        for (PromptPart part : prompt.parts()) {
            KeptPart known = parts.get(part.identity());
            if (known == null || known.from() > latest) {
                break;
            }
            kept += part.tokens();
        }
        return Math.min(kept, prompt.promptTokens());
    }

    private record KeptPart(int tokens, long from) {}
}
