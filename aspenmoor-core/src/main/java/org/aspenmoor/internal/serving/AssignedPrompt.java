package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * A prompt that was assigned to an engine, which has probably cached it.
 *
 * @param server the engine's id
 * @param parts the prompt's parts in order
 */
public record AssignedPrompt(String server, List<PromptPart> parts) {
    public AssignedPrompt {
        parts = List.copyOf(parts);
    }
}
