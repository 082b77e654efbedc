package org.aspenmoor.internal.gateway.protocol;

import java.util.Optional;

/**
 * What a caller states when it asks for the rest of a stream, of which it has received the beginning.
 *
 * @param firstRequestId the id of the request whose answer contained the stream's first event; empty if it is not stated
 *     or stated in several ways
 * @param lastEventId the id of the last event that the caller has received; empty if it is not stated
 */
public record Resumption(Optional<String> firstRequestId, Optional<String> lastEventId) {}
