package org.aspenmoor.internal.membership;

/** How a backend server stands with one entry. */
public sealed interface Standing {
    /** It takes new work. */
    record Serving() implements Standing {}

    /**
     * It takes no new work and finishes what runs.
     *
     * @param said who said that it leaves
     */
    record Leaving(Witness said) implements Standing {}

    /** Its link is cut or silent; it may be leaving without our hearing so. */
    record Silent() implements Standing {}

    /** No agent of it has ever said hello on a link. */
    record Unmet() implements Standing {}

    /** Says whether new work may be sent. */
    default boolean takesNewWork() {
        return this instanceof Serving;
    }

    /** Who said that a backend server leaves. */
    enum Witness {
        /** The agent beside it. */
        AGENT,
        /** The platform's host list names it as leaving. */
        HOST_LIST,
        /** The platform's host list named it and does so no more. */
        GONE_FROM_HOST_LIST
    }
}
