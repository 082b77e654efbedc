package org.aspenmoor.internal.serving.origin;

/**
 * A stream and what wrote its first event.
 *
 * @param stream the stream
 * @param origin what wrote its first event
 */
public record KnownStream(StreamKey stream, StreamOrigin origin) {}
