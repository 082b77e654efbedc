package org.aspenmoor.internal.administration;

import java.time.Instant;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * The revision by which one process serves.
 *
 * @param process the process
 * @param dataCentre where it runs
 * @param service the service
 * @param revision the revision in force there; 0 where it knows none
 * @param since when it came into force there, where that is known
 */
public record ProcessRevision(
        String process, String dataCentre, ServiceName service, long revision, Optional<Instant> since) {}
