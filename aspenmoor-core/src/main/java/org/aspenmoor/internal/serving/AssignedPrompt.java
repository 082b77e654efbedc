package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * A prompt that was placed at an engine, which probably keeps it now.
 *
 * @param server the engine
 * @param parts the prompt's parts in order
 */
public record AssignedPrompt(String server, List<PromptPart> parts) {
    public AssignedPrompt {
        parts = List.copyOf(parts);
    }
}
