package org.aspenmoor.internal.organisation;

import java.util.Optional;

/** Whether a request may be served, and for which organisation. */
public sealed interface Authorisation {
    /** The configuration has no organisations, so keys have no meaning to an entry. */
    record NotConfigured() implements Authorisation {}

    /** The route is open to everybody, and the request contains no valid key. */
    record Anonymous() implements Authorisation {}

    /** The key belongs to this organisation. */
    record Granted(Organisation organisation) implements Authorisation {}

    /** The request must not be served. */
    record Denied(Reason reason) implements Authorisation {}

    /** Why a request is denied; the text is sent to the caller. */
    enum Reason {
        KEY_MISSING("the request contains no key"),
        KEY_MALFORMED("the key is not of the form 'Bearer KEY'"),
        KEY_UNKNOWN("the key is unknown");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        public String text() {
            return text;
        }
    }

    /** Returns the organisation that the request is served for; empty if there is none. */
    default Optional<Organisation> servedFor() {
        return switch (this) {
            case Granted granted -> Optional.of(granted.organisation());
            case NotConfigured notConfigured -> Optional.empty();
            case Anonymous anonymous -> Optional.empty();
            case Denied denied -> Optional.empty();
        };
    }

    /** Returns the priority of the request: that of its organisation, or else that of its route. */
    default int priority(int routePriority) {
        return servedFor().flatMap(Organisation::priority).orElse(routePriority);
    }
}
