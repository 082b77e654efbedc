package org.aspenmoor.internal.bench.replay.engine;

import java.util.LinkedHashMap;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;

/** The computed prompt parts that an engine keeps; the least recently used yield. */
final class KeptParts {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int FIRST_CAPACITY = 64;

    private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(FIRST_CAPACITY, LOAD_FACTOR, true);
    private int tokens;

    /** Returns how many tokens at the beginning of the prompt are kept, and marks them as used. */
    int use(Prompt prompt) {
        int kept = 0;
        for (PromptPart part : prompt.parts()) {
            if (parts.get(part.identity()) == null) {
                break;
            }
            kept += part.tokens();
        }
        return Math.min(kept, prompt.promptTokens());
    }

    /** Keeps the parts of a prompt that others may share, within so many tokens. */
    void keep(Prompt prompt, double most) {
        for (PromptPart part : prompt.parts().subList(0, prompt.parts().size() - 1)) {
            Integer before = parts.put(part.identity(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        while (tokens > most && !parts.isEmpty()) {
            tokens -= parts.pollFirstEntry().getValue();
        }
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }
}
