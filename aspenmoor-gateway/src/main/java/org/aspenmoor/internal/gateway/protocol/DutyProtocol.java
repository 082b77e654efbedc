package org.aspenmoor.internal.gateway.protocol;

import io.netty.handler.codec.http.FullHttpRequest;
import org.aspenmoor.internal.usage.UsageReport;

/** Maps the duties that one entry performs for all to the platform's HTTP calls. */
public interface DutyProtocol {
    /**
     * Returns the HTTP request that reports usage. The same report always has the same body.
     *
     * @param holder the name of the entry that performs the duty
     * @param fencingNumber the fencing number of its lease
     */
    FullHttpRequest createUsageRequest(UsageReport report, String holder, long fencingNumber);
}
