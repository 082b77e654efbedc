package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;

/**
 * What a caller says of the prompt it sends.
 *
 * @param model the model it is for
 * @param promptTokens the whole prompt's length
 * @param mostOutputTokens how many tokens may be generated
 * @param likelyOutputTokens how many tokens its caller expects, often far off
 * @param parts the prompt's parts in order; the last belongs to this request alone
 */
public record Prompt(
        String model,
        int promptTokens,
        int maxOutputTokens,
        Optional<Integer> statedOutputTokens,
        List<PromptPart> parts) {
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns how many tokens its answer is expected to have, no more than may be generated; empty where none said so. */
    public Optional<Integer> expectedOutputTokens() {
        return statedOutputTokens.map(stated -> Math.clamp(stated, 1, Math.max(1, maxOutputTokens)));
    }

    /** Returns the identity that requests with the same shared beginning have in common. */
    public String sharedPrefixIdentity() {
        if (parts.isEmpty()) {
            return "";
        }
        int lastShared = Math.max(0, parts.size() - 2);
        return parts.get(lastShared).identity();
    }

    /** Returns how many tokens of the prompt other requests may share. */
    public int sharedPrefixTokens() {
        int shared = 0;
        for (int index = 0; index < parts.size() - 1; index++) {
            shared += parts.get(index).tokens();
        }
        return Math.min(shared, promptTokens);
    }
}
