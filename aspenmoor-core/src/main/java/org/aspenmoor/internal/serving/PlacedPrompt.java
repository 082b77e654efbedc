package org.aspenmoor.internal.serving;

import java.util.List;

/**
 * A prompt that was placed at an engine, which probably keeps it now.
 *
 * @param server the engine
 * @param parts the prompt's parts in order
 */
public record PlacedPrompt(String server, List<PromptPart> parts) {
    public PlacedPrompt {
        parts = List.copyOf(parts);
    }
}
