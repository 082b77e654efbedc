package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.Route;

/** Counts one request for its organisation when a server begins to run it, once however often it is run. */
final class RequestUsage {
    private final ServingContext context;
    private final RequestAuthorisation authorisation;
    private final Route route;
    private boolean counted;

    RequestUsage(ServingContext context, RequestAuthorisation authorisation, Route route) {
        this.context = context;
        this.authorisation = authorisation;
        this.route = route;
    }

    /** Records that an answer has begun. A stream begins with its first token; a plain answer ends the run. */
    void began(AssignedWork work) {
        if (counted || context.usage().isEmpty()) {
            return;
        }
        counted = true;
        long beganAt = route.streamed() ? context.state().time().monotonicNanos() : work.startedAtNanos();
        authorisation
                .current()
                .servedFor()
                .map(Organisation::name)
                .ifPresent(organisation -> context.usage().get().requestBegan(organisation, beganAt));
    }
}
