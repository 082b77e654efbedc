package org.aspenmoor.internal.administration;

import java.time.Instant;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * The revision of a document that is in force in one process.
 *
 * @param process name of the process
 * @param dataCentre data centre in which the process runs
 * @param service service that the document describes
 * @param revision revision in force in the process; 0 if it has none
 * @param since when the revision came into force in the process; empty if unknown
 */
public record ProcessRevision(
        String process, String dataCentre, ServiceName service, long revision, Optional<Instant> since) {}
