package org.aspenmoor.internal.document;

import java.util.Optional;

/**
 * The properties of a request that determine its kind.
 *
 * @param model the requested model; empty for plain services
 * @param adapter the requested adapter, if any
 * @param method the HTTP method
 * @param path the path below the service's name, for plain services
 * @param promptTokens the estimated prompt length, in tokens
 */
public record RequestTraits(
        Optional<String> model, Optional<String> adapter, String method, String path, int promptTokens) {}
