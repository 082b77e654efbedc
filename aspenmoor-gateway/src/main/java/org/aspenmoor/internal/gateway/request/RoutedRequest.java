package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.VersionRequirement;

/**
 * A request for which a route has been found and whose caller is authorised.
 *
 * @param incoming the request as it was received
 * @param caller what its headers state
 * @param route the route that matches it
 * @param authorisation whether it is permitted, which is checked again before each attempt
 * @param service the service that serves it
 * @param version which software versions may serve it
 * @param configurationVersion the version of the configuration that the route is from
 */
record RoutedRequest(
        IncomingRequest incoming,
        CallerHeaders caller,
        Route route,
        RequestAuthorisation authorisation,
        String service,
        VersionRequirement version,
        long configurationVersion) {}
