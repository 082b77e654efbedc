package org.aspenmoor.internal.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;

/** Paths of the administration API that name a service. */
final class ServicePaths {
    private ServicePaths() {}

    static String of(ServiceDocument document) {
        return of(ServiceName.of(document));
    }

    static String of(ServiceName name) {
        return "documents/" + encode(name.team()) + "/" + encode(name.service());
    }

    static String encode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
