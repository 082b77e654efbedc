package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;

/**
 * What a caller states about the prompt of its request.
 *
 * @param model the model it is for
 * @param promptTokens the length of the complete prompt
 * @param maxOutputTokens how many tokens may be generated
 * @param statedOutputTokens how many tokens the caller expects, often far off
 * @param parts the prompt's parts in order; the last one belongs to this request only
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

    /**
     * Returns the expected length of the answer, at most the number of tokens that may be generated; empty if the
     * caller did not state it.
     */
    public Optional<Integer> expectedOutputTokens() {
        return statedOutputTokens.map(stated -> Math.clamp(stated, 1, Math.max(1, maxOutputTokens)));
    }

    /**
     * Returns an identity that is the same for all requests with the same shared prefix; empty if the prompt has no
     * parts.
     */
    public String sharedPrefixIdentity() {
        if (parts.isEmpty()) {
            return "";
        }
        int lastShared = Math.max(0, parts.size() - 2);
        return parts.get(lastShared).identity();
    }

    /** Returns how many tokens of the prompt may be shared with other requests. */
    public int sharedPrefixTokens() {
        int shared = 0;
        for (int index = 0; index < parts.size() - 1; index++) {
            shared += parts.get(index).tokens();
        }
        return Math.min(shared, promptTokens);
    }
}
