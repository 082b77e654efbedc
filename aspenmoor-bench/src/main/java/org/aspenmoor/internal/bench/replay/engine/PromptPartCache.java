package org.aspenmoor.internal.bench.replay.engine;

import java.util.LinkedHashMap;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;

/** Cache of prefilled prompt parts at an engine, with eviction of the least recently used. */
final class PromptPartCache {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 64;

    private final LinkedHashMap<String, Integer> tokensByPart =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private int totalTokens;

    /** Returns the number of cached tokens at the start of a prompt, and marks the parts as used. */
    int lookUp(Prompt prompt) {
        int cached = 0;
        for (PromptPart part : prompt.parts()) {
            if (tokensByPart.get(part.identity()) == null) {
                break;
            }
            cached += part.tokens();
        }
        return Math.min(cached, prompt.promptTokens());
    }

    /** Stores the parts of a prompt that other requests may share, and evicts down to a number of tokens. */
    void store(Prompt prompt, double maxTokens) {
        for (PromptPart part : prompt.parts().subList(0, prompt.parts().size() - 1)) {
            Integer previous = tokensByPart.put(part.identity(), part.tokens());
            totalTokens += part.tokens() - (previous == null ? 0 : previous);
        }
        while (totalTokens > maxTokens && !tokensByPart.isEmpty()) {
            totalTokens -= tokensByPart.pollFirstEntry().getValue();
        }
    }

    void clear() {
        tokensByPart.clear();
        totalTokens = 0;
    }
}
