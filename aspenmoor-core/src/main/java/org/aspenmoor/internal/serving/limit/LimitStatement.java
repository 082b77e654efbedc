package org.aspenmoor.internal.serving.limit;

/** What an answer states about the requests that its server takes from all entries together. */
public sealed interface LimitStatement {
    /** The answer is damaged or not from the server itself, so it states nothing. */
    record Missing() implements LimitStatement {}

    /** The server states no limit. */
    record Unlimited() implements LimitStatement {}

    /**
     * The server states a limit.
     *
     * @param requestsPerSecond finite and not negative
     */
    record Limited(double requestsPerSecond) implements LimitStatement {}

    /**
     * The server states something that is not a limit; what was known before still holds.
     *
     * @param text what it states
     */
    record Unreadable(String text) implements LimitStatement {}
}
