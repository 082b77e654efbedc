package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.Prompt;

/**
 * What a caller says of its request beside method, path and body.
 *
 * @param id its identity; empty text where the caller gave none
 * @param patience how long the caller will wait, counted from when it sent the request
 * @param prompt what it says of its prompt
 */
public record CallerRequest(String id, Optional<Duration> patience, Optional<Prompt> prompt) {}
