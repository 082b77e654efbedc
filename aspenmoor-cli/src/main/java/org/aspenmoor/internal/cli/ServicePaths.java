package org.aspenmoor.internal.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;

/** Builds paths of the administration API for a service. */
final class ServicePaths {
    private ServicePaths() {}

    static String of(ServiceDocument document) {
        return of(ServiceName.of(document));
    }

    static String of(ServiceName name) {
        return "documents/" + encode(name.team()) + "/" + encode(name.service());
    }

    static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
