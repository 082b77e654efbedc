package org.aspenmoor.internal.entry;

import java.util.Optional;
import org.aspenmoor.RequestId;

/**
 * A request as it came in.
 *
 * @param id its identity, drawn here
 * @param token the caller's token
 * @param work what it asks for
 * @param idempotencyKey the key under which it may run at most once
 * @param sink where its answer goes
 */
public record IncomingRequest(
        RequestId id, String token, CallerWork work, Optional<String> idempotencyKey, CallerSink sink) {}
