package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * How a request is handed to one backend server.
 *
 * @param server the identity that the server must have to take it
 * @param timeLeft how long the server may work on it
 * @param priority its rank; 0 goes first
 * @param work which part of it is wanted
 * @param cacheSource where the computed prompt lies, if it was computed elsewhere
 * @param holder an engine that probably keeps the shared beginning of the prompt
 * @param lastEvent the last event that the caller has, if the answer is continued
 */
public record Delivery(
        String server,
        Duration timeLeft,
        int priority,
        WantedWork work,
        Optional<CacheSource> cacheSource,
        Optional<BackendServer> holder,
        Optional<String> lastEvent) {}
