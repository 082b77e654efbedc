package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;

/** Where a request goes. */
public sealed interface Placement {
    /**
     * One server does all of it.
     *
     * @param server the server
     * @param holder an engine that probably keeps the shared beginning of the prompt, for the server to fetch it from
     * @param promptSeconds how long it should work before its answer begins
     * @param queueSeconds how long the request should wait at the server before that
     * @param expectedSeconds when the answer should begin, counted from now
     */
    record SingleServer(
            BackendServer server,
            Optional<BackendServer> cacheHolder,
            double promptSeconds,
            double queueSeconds,
            double answerStartSeconds)
            implements Placement {}

    /**
     * One engine computes the prompt; another, chosen once that is done, takes its cache over and generates the answer.
     *
     * @param prefill the first
     * @param holder an engine that probably keeps the shared beginning of the prompt, for the first to fetch it from
     * @param promptSeconds how long the first should compute
     * @param queueSeconds how long the request should wait at the first before that
     * @param expectedSeconds when the answer should begin, counted from now
     * @param ordered whether who goes first was decided at the entry, so that the first engine need not go by ranks: there,
     *     short prompts of a less urgent kind waited for 0.3 to 1.8 s behind long ones
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

        /** Returns the rank of the prompt at the first engine, given that of its route. */
        public int promptPriority(int routePriority) {
            return orderedAtEntry ? HIGHEST_PRIORITY : routePriority;
        }
    }

    /**
     * Each engine has as many prompts as it should; the request waits at this entry until one has room.
     *
     * @param promptSeconds how long the engine that needs least for it should compute
     */
    record Queued(double promptSeconds) implements Placement {}

    /**
     * No server can answer in time, or there is none.
     *
     * @param reason one sentence for the log
     * @param comeBackAfter when it may be better
     */
    record Refused(String reason, Duration retryAfter) implements Placement {}
}
