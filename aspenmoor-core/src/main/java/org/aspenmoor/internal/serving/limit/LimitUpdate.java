package org.aspenmoor.internal.serving.limit;

import java.util.Optional;

/** What a statement about a server's limit has changed. */
public sealed interface LimitUpdate {
    /** Nothing has changed. */
    record Unchanged() implements LimitUpdate {}

    /**
     * The limit has changed.
     *
     * @param requestsPerSecond the new limit; empty if there is none any more
     */
    record Changed(Optional<Double> requestsPerSecond) implements LimitUpdate {}

    /**
     * The statement differs from what is known and is ignored because it is not newer. Reported once after each change.
     *
     * @param ignored the limit that it states; empty for none
     * @param requestsPerSecond the limit that still holds; empty if there is none
     */
    record Outdated(Optional<Double> ignored, Optional<Double> requestsPerSecond) implements LimitUpdate {}

    /**
     * The server has for the first time stated something that is not a limit.
     *
     * @param text what it states
     * @param requestsPerSecond the limit that still holds; empty if there is none
     */
    record FirstUnreadable(String text, Optional<Double> requestsPerSecond) implements LimitUpdate {}
}
