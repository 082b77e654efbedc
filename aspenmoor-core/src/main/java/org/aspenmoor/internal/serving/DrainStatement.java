package org.aspenmoor.internal.serving;

/** What an answer states about whether its server is draining. */
public sealed interface DrainStatement {
    /** The answer states nothing; a server that has once announced that it is draining still is. */
    record Missing() implements DrainStatement {}

    /** The server is draining: it finishes its current requests and terminates soon. */
    record Draining() implements DrainStatement {}

    /**
     * The server states something that is not understood; it changes nothing.
     *
     * @param text what it states
     */
    record Unreadable(String text) implements DrainStatement {}
}
