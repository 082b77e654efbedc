package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.organisation.PresentedKey;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.ServingConfiguration;

/**
 * Whether one request is permitted, according to the configuration in force. A request may wait for seconds and be sent
 * several times, and its key may be removed meanwhile, so the key is looked up again before each attempt.
 */
final class RequestAuthorisation {
    private final ServingState state;
    private final Route route;
    private final PresentedKey key;
    private Authorisation current = new Authorisation.Denied(Authorisation.Reason.KEY_UNKNOWN);

    RequestAuthorisation(ServingState state, Route route, PresentedKey key) {
        this.state = state;
        this.route = route;
        this.key = key;
    }

    /** Looks the key up in the configuration in force. */
    Authorisation renew() {
        state.configuration()
                .map(ServingConfiguration::keys)
                .ifPresent(keys -> current = keys.authorise(key, route.open()));
        return current;
    }

    /** Returns the result of the last lookup. */
    Authorisation current() {
        return current;
    }

    /** Returns the name of the organisation for log lines; empty if there is none. */
    String organisationName() {
        return current.servedFor().map(Organisation::name).orElse("");
    }
}
