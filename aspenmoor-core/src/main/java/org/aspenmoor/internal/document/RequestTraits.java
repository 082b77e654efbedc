package org.aspenmoor.internal.document;

import java.util.Optional;

/**
 * What of a request matters for finding its kind.
 *
 * @param model the model asked for, if it asks a model
 * @param adapter the adapter asked for, if any
 * @param method the HTTP method
 * @param path the path below the service's name, for plain services
 * @param promptTokens estimated prompt length in tokens
 */
public record RequestTraits(
        Optional<String> model, Optional<String> adapter, String method, String path, int promptTokens) {}
