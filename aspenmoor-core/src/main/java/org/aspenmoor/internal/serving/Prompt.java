package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * What a caller says of the prompt it sends.
 *
 * @param model the model it is for
 * @param promptTokens the whole prompt's length
 * @param mostOutputTokens how many tokens may be generated
 * @param parts the prompt's parts in order; the last belongs to this request alone
 */
public record Prompt(String model, int promptTokens, int mostOutputTokens, List<PromptPart> parts) {
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the identity that requests with the same shared beginning have in common. */
    public String sharedIdentity() {
        if (parts.isEmpty()) {
            return "";
        }
        int last = Math.max(0, parts.size() - 2);
        return parts.get(last).identity();
    }

    /** Returns how many tokens of the prompt other requests may share. */
    public int sharedTokens() {
        int shared = 0;
        for (int index = 0; index < parts.size() - 1; index++) {
            shared += parts.get(index).tokens();
        }
        return Math.min(shared, promptTokens);
    }
}
