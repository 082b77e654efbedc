package org.aspenmoor.internal.serving;

import java.time.Duration;

/** What an answer states about whether its server wants no requests from this entry for a while. */
public sealed interface BackoffStatement {
    /** The answer states nothing; a pause that the server has asked for before goes on. */
    record Missing() implements BackoffStatement {}

    /**
     * The server has turned a request away and wants no further one from this entry for a while.
     *
     * @param pause how long, above zero
     */
    record Requested(Duration pause) implements BackoffStatement {}

    /**
     * The server states something that is not a time; it changes nothing.
     *
     * @param text what it states
     */
    record Unreadable(String text) implements BackoffStatement {}
}
