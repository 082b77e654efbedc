package org.aspenmoor.internal.membership;

/** State of a backend server as seen by one entry. */
public sealed interface Standing {
    /** Accepts new work. */
    record Serving() implements Standing {}

    /**
     * Accepts no new work and finishes its running requests.
     *
     * @param said the source of the information that it leaves
     */
    record Leaving(Witness said) implements Standing {}

    /**
     * Its link is disconnected or unresponsive; it may have announced that it leaves without this entry receiving
     * it.
     */
    record Silent() implements Standing {}

    /** No agent of this server has ever sent a hello on a link. */
    record Unmet() implements Standing {}

    /** Returns whether new work may be sent. */
    default boolean takesNewWork() {
        return this instanceof Serving;
    }

    /** Source of the information that a backend server leaves. */
    enum Witness {
        /** The agent next to the server. */
        AGENT,
        /** The platform's host list marks it as leaving. */
        HOST_LIST,
        /** The platform's host list contained it and no longer does. */
        GONE_FROM_HOST_LIST
    }
}
