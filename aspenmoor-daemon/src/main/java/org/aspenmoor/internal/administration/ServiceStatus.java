package org.aspenmoor.internal.administration;

import java.util.List;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Status of a service at one moment, as known to this process.
 *
 * @param name name of the service
 * @param kinds numbers of its requests by kind
 */
public record ServiceStatus(ServiceName name, List<KindStatus> kinds) {
    public ServiceStatus {
        kinds = List.copyOf(kinds);
    }
}
