package org.aspenmoor.internal.bench.policy.fleet;

import org.aspenmoor.internal.document.RequestKind;

/**
 * A request kind with its typical lengths for generated traces.
 *
 * @param declaration kind as declared in the team's document
 * @param typicalPromptTokens typical length of a prompt
 * @param typicalOutputTokens typical length of an answer
 */
public record TraceKind(RequestKind declaration, int typicalPromptTokens, int typicalOutputTokens) {}
