package org.aspenmoor.internal.entry;

import java.util.List;
import org.aspenmoor.internal.wire.v1.Header;

/**
 * The whole answer of a plain service.
 *
 * @param status its HTTP status
 * @param headers its headers
 * @param body its body
 */
public record PlainAnswer(int status, List<Header> headers, byte[] body) {}
