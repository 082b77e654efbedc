package org.aspenmoor.internal.gateway.standin;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A message as a stand-in received it.
 *
 * @param line the first line: the request line, or the status line of an answer
 * @param headers the headers, with names in lower case
 * @param body the body
 */
public record ReceivedRequest(String line, Map<String, String> headers, String body) {
    public ReceivedRequest {
        headers = Map.copyOf(headers);
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
