package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.internal.wire.v1.Header;

/**
 * The complete answer of a plain service.
 *
 * @param status the HTTP status
 * @param headers the HTTP headers
 * @param body the HTTP body
 */
public record PlainAnswer(int status, List<Header> headers, byte[] body) {}
