package org.aspenmoor.internal.bench.policy.fleet;

import org.aspenmoor.internal.document.RequestKind;

/**
 * A kind with the lengths that generated traces use.
 *
 * @param declaration the kind as the team's document has it
 * @param typicalPromptTokens a typical prompt
 * @param typicalOutputTokens a typical answer
 */
public record TraceKind(RequestKind declaration, int typicalPromptTokens, int typicalOutputTokens) {}
