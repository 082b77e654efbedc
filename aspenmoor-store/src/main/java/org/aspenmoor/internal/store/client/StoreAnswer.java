package org.aspenmoor.internal.store.client;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * A whole answer of the store.
 *
 * @param status the HTTP status code
 * @param body the body, decoded as UTF-8
 */
record StoreAnswer(int status, HttpHeaders headers, String body) {
    /** Returns the value of a header. */
    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }
}
