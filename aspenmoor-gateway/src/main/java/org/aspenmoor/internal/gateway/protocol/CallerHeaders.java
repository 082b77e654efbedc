package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.organisation.PresentedKey;
import org.aspenmoor.internal.serving.Prompt;

/**
 * Values that a caller sends in the headers of its request.
 *
 * @param requestId identifies the request; an empty string if the caller sent no identifier
 * @param maxWait how long the caller waits for the answer, from the time it sent the request; empty if not stated
 * @param key the key by which the caller's organisation is recognised
 * @param prompt the description of the request's prompt; empty if not stated or incomplete
 * @param resumption what it states if it asks for the rest of a stream; empty if it asks for a new answer
 */
public record CallerHeaders(
        String requestId,
        Optional<Duration> maxWait,
        PresentedKey key,
        Optional<Prompt> prompt,
        Optional<Resumption> resumption) {}
