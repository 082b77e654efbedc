package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;

/** The result of scheduling a request. */
public sealed interface Placement {
    /**
     * One server handles the complete request.
     *
     * @param server the server
     * @param cacheHolder an engine that probably has the shared prefix of the prompt cached, from which the server can
     *     transfer it
     * @param promptSeconds expected work before the answer starts
     * @param queueSeconds expected wait at the server before that work
     * @param answerStartSeconds expected time until the answer starts, from now
     */
    record SingleServer(
            BackendServer server,
            Optional<BackendServer> cacheHolder,
            double promptSeconds,
            double queueSeconds,
            double answerStartSeconds)
            implements Placement {}

    /**
     * One engine computes the prompt (prefill). A second engine, which is chosen when the prompt is ready, takes over
     * the cache and generates the answer (decode).
     *
     * @param prefill the prefill engine
     * @param cacheHolder an engine that probably has the shared prefix of the prompt cached, from which the prefill
     *     engine can transfer it
     * @param promptSeconds expected time to compute the prompt
     * @param queueSeconds expected wait at the prefill engine before that
     * @param answerStartSeconds expected time until the answer starts, from now
     * @param orderedAtEntry whether the entry has already ordered the requests, so that the prefill engine need not
     *     order them by priority; when it did, short prompts of a less urgent kind waited 0.3 to 1.8 s behind long ones
     */
    record Disaggregated(
            BackendServer prefill,
            Optional<BackendServer> cacheHolder,
            double promptSeconds,
            double queueSeconds,
            double answerStartSeconds,
            boolean orderedAtEntry)
            implements Placement {
        private static final int HIGHEST_PRIORITY = 0;

        /** Returns the priority of the prompt at the prefill engine, given the priority of its route. */
        public int promptPriority(int routePriority) {
            return orderedAtEntry ? HIGHEST_PRIORITY : routePriority;
        }
    }

    /**
     * Each engine has as many prompts as it should have; the request waits at this entry until one has room.
     *
     * @param promptSeconds the shortest time that any engine would need to compute the prompt
     */
    record Queued(double promptSeconds) implements Placement {}

    /**
     * No server can answer in time, or no server is available.
     *
     * @param reason one sentence for the log
     * @param retryAfter after which time a retry may succeed
     */
    record Refused(String reason, Duration retryAfter) implements Placement {}
}
