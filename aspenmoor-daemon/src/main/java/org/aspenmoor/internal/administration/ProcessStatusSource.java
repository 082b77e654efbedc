package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;

/** Provides the status of an entry and of the processes known to it. Calls may block. */
public interface ProcessStatusSource {
    /** Returns the name of this process. */
    String process();

    /** Returns the services that this entry serves. */
    List<ServiceStatus> services();

    /** Returns the backend servers known to this entry. */
    List<BackendStatus> backends();

    /** Returns the duties and their holders. */
    List<DutyStatus> duties() throws AspenmoorException;

    /** Returns the revision of each document in force, for each process of which this entry knows it. */
    List<ProcessRevision> revisions();

    /** Dumps the state of this process or of one it is linked to; empty if the process is not known. */
    Optional<JsonNode> dump(String process) throws AspenmoorException;

    /** Returns how a request was handled, in sentences; empty if this entry has no record of it. */
    Optional<RequestExplanation> explain(RequestId id);
}
