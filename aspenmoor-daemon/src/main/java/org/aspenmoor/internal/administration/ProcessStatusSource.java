package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;

/** What the entry knows about itself and the processes around it. Calls may block. */
public interface ProcessStatusSource {
    /** Returns the name of this process. */
    String process();

    /** Returns the services that this entry serves. */
    List<ServiceStatus> services();

    /** Returns the backend servers that this entry knows of. */
    List<BackendStatus> backends();

    /** Returns who holds which duty. */
    List<DutyStatus> duties() throws AspenmoorException;

    /** Returns which revision of each document is in force in each process that this entry hears of. */
    List<ProcessRevision> revisions();

    /** Dumps the state of a process, this one or one that it is linked to; empty where it knows no such process. */
    Optional<JsonNode> dump(String process) throws AspenmoorException;

    /** Returns what happened to a request, in sentences; empty where this entry does not remember it. */
    Optional<RequestExplanation> explain(RequestId id);
}
