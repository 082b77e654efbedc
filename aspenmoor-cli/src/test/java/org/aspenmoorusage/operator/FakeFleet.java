package org.aspenmoorusage.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.administration.BackendState;
import org.aspenmoor.internal.administration.BackendStatus;
import org.aspenmoor.internal.administration.DutyStatus;
import org.aspenmoor.internal.administration.KindStatus;
import org.aspenmoor.internal.administration.ProcessRevision;
import org.aspenmoor.internal.administration.ProcessStatusSource;
import org.aspenmoor.internal.administration.RequestExplanation;
import org.aspenmoor.internal.administration.ServiceStatus;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/** One entry and one agent. The agent has the revision in force that the entry had at the previous revision query. */
final class FakeFleet implements ProcessStatusSource {
    static final ServiceName SERVICE = new ServiceName("studio", "drafting");
    static final RequestId REQUEST = new RequestId(1, 2);

    private final DocumentRegistry registry;
    private long agentRevision;
    private boolean agentConnected = true;

    FakeFleet(DocumentRegistry registry) {
        this.registry = registry;
    }

    void disconnectAgent() {
        agentConnected = false;
    }

    @Override
    public String process() {
        return "entry-1";
    }

    @Override
    public List<ServiceStatus> services() {
        return List.of(new ServiceStatus(SERVICE, List.of(new KindStatus("cue", 7, 1, 1, 1))));
    }

    @Override
    public List<BackendStatus> backends() {
        return List.of(new BackendStatus(
                "drafter-1",
                SERVICE,
                "almaty-1",
                BackendState.READY,
                Optional.empty(),
                Optional.of(EngineRole.DECODE),
                Optional.of(new EngineLoad(9, 4000, 3, 8, 100, 2000)),
                List.of("scene-drafter@3"),
                2));
    }

    @Override
    public List<DutyStatus> duties() {
        return List.of(new DutyStatus(
                "planner",
                Optional.of("studio"),
                Optional.of("drafting"),
                "almaty-1",
                Optional.of("entry-1"),
                4,
                "The lease runs for 6 s more."));
    }

    @Override
    public List<ProcessRevision> revisions() {
        long revision = registry.revision(SERVICE);
        List<ProcessRevision> revisions = new ArrayList<>();
        revisions.add(new ProcessRevision("entry-1", "almaty-1", SERVICE, revision, Optional.empty()));
        revisions.add(new ProcessRevision("agent-1", "almaty-1", SERVICE, agentRevision, Optional.empty()));
        if (agentConnected) {
            agentRevision = revision;
        }
        return revisions;
    }

    @Override
    public Optional<JsonNode> dump(String process) {
        return process.equals(process())
                ? Optional.of(JsonNodeFactory.instance.objectNode().put("process", process))
                : Optional.empty();
    }

    @Override
    public Optional<RequestExplanation> explain(RequestId id) {
        return id.equals(REQUEST)
                ? Optional.of(new RequestExplanation(
                        Optional.of(SERVICE), List.of("+0 ms: received.", "+3 ms: sent to drafter-1.")))
                : Optional.empty();
    }
}
