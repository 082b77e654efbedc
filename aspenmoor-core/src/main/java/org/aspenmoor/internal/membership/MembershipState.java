package org.aspenmoor.internal.membership;

/** State of a backend server as seen by one entry. */
public sealed interface MembershipState {
    /** Accepts new work. */
    record Serving() implements MembershipState {}

    /**
     * Accepts no new work and finishes its running requests.
     *
     * @param source the source of the information that it leaves
     */
    record Leaving(Source source) implements MembershipState {}

    /**
     * Its link is disconnected or unresponsive; it may have announced that it leaves without this entry receiving
     * it.
     */
    record Unresponsive() implements MembershipState {}

    /** No agent of this server has ever sent a hello on a link. */
    record NeverConnected() implements MembershipState {}

    /** Returns whether new work may be sent. */
    default boolean acceptsNewWork() {
        return this instanceof Serving;
    }

    /** Source of the information that a backend server leaves. */
    enum Source {
        /** The agent next to the server. */
        AGENT,
        /** The platform's host list marks it as leaving. */
        HOST_LIST,
        /** The platform's host list contained it and no longer does. */
        GONE_FROM_HOST_LIST
    }
}
