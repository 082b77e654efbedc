package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Parameters that an entry passes to a backend server together with a request.
 *
 * @param serverId the identity of the intended server; a server with another identity rejects the request
 * @param remainingTime how long the server may work on the request
 * @param priority the priority of the request; 0 is the highest
 * @param authorisation whether the caller's key is withheld from the server, and the organisation that is stated
 *     instead
 * @param work the part of the request that the server executes
 * @param cacheSource the location of the prompt's cache, if another engine has prefilled the prompt
 * @param cacheHolder an engine that probably has the shared prefix of the prompt in its cache
 * @param lastEventId the identifier of the last event that the caller has received, if the answer is resumed
 */
public record DispatchParameters(
        String serverId,
        Duration remainingTime,
        int priority,
        Authorisation authorisation,
        RequestedWork work,
        Optional<CacheSource> cacheSource,
        Optional<BackendServer> cacheHolder,
        Optional<String> lastEventId) {}
