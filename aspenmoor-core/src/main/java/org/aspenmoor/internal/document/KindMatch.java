package org.aspenmoor.internal.document;

import java.util.Optional;

/**
 * How a request of a kind is recognised; every part that is given must hold.
 *
 * @param model the model asked for
 * @param adapter the adapter asked for
 * @param method the HTTP method of a call to a plain service
 * @param pathPrefix how the path of such a call starts, below the service's name
 * @param mostPromptTokens the longest prompt of this kind
 */
public record KindMatch(
        Optional<String> model,
        Optional<String> adapter,
        Optional<String> method,
        Optional<String> pathPrefix,
        Optional<Integer> mostPromptTokens) {}
