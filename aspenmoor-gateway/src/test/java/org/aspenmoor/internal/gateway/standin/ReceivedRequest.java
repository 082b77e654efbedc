package org.aspenmoor.internal.gateway.standin;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One request as a stand-in received it.
 *
 * @param line its first line
 * @param headers its headers, with names in lower case
 * @param body its body
 */
public record ReceivedRequest(String line, Map<String, String> headers, String body) {
    public ReceivedRequest {
        headers = Map.copyOf(headers);
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
