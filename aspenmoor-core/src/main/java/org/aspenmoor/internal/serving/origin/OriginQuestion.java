package org.aspenmoor.internal.serving.origin;

/**
 * A question to another entry about what wrote the first event of a stream.
 *
 * @param number identifies the question at the entry that asks
 * @param stream the stream
 * @param service the service at which its caller takes it up
 */
public record OriginQuestion(long number, StreamKey stream, String service) {}
