package org.aspenmoor.internal.administration;

import java.util.List;
import org.aspenmoor.internal.document.ServiceName;

/**
 * A service at one moment, as this process sees it.
 *
 * @param name the service
 * @param kinds its requests by kind
 */
public record ServiceStatus(ServiceName name, List<KindStatus> kinds) {
    public ServiceStatus {
        kinds = List.copyOf(kinds);
    }
}
