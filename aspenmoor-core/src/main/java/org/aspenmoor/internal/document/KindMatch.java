package org.aspenmoor.internal.document;

import java.util.Optional;

/**
 * The criteria for requests of a kind, named as in the document; all given criteria must be met.
 *
 * @param model the requested model
 * @param adapter the requested adapter
 * @param method the HTTP method of a call to a plain service
 * @param pathPrefix the prefix of the path of such a call, below the service's name
 * @param mostPromptTokens the maximum prompt length, in tokens
 */
public record KindMatch(
        Optional<String> model,
        Optional<String> adapter,
        Optional<String> method,
        Optional<String> pathPrefix,
        Optional<Integer> mostPromptTokens) {}
