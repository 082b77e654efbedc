package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/** Status source with a fixed state: one service for each of two teams. */
final class FixedStatusSource implements ProcessStatusSource {
    static final ServiceName OURS = new ServiceName("studio", "drafting");
    static final ServiceName THEIRS = new ServiceName("sheets", "drafting");
    static final RequestId REQUEST = new RequestId(1, 2);
    private static final EngineLoad LOAD = new EngineLoad(9, 4000, 3, 8, 100, 2000);

    @Override
    public String process() {
        return "entry-1";
    }

    @Override
    public List<ServiceStatus> services() {
        KindStatus kind = new KindStatus("cue", 7, 1, 1, 1);
        return List.of(new ServiceStatus(OURS, List.of(kind)), new ServiceStatus(THEIRS, List.of()));
    }

    @Override
    public List<BackendStatus> backends() {
        return List.of(
                new BackendStatus(
                        "drafter-1",
                        OURS,
                        "almaty-1",
                        BackendState.READY,
                        Optional.empty(),
                        Optional.of(EngineRole.WHOLE),
                        Optional.of(LOAD),
                        List.of("scene-drafter@3"),
                        2),
                new BackendStatus(
                        "sheet-1",
                        THEIRS,
                        "lima-1",
                        BackendState.LEAVING,
                        Optional.of("its host is leaving"),
                        Optional.empty(),
                        Optional.empty(),
                        List.of(),
                        0));
    }

    @Override
    public List<DutyStatus> duties() {
        return List.of(
                new DutyStatus(
                        "planner",
                        Optional.of("studio"),
                        Optional.of("drafting"),
                        "almaty-1",
                        Optional.of("entry-1"),
                        4,
                        "The lease runs for 6 s more."),
                new DutyStatus(
                        "planner",
                        Optional.of("sheets"),
                        Optional.of("drafting"),
                        "lima-1",
                        Optional.empty(),
                        2,
                        "Nobody holds it."));
    }

    @Override
    public List<ProcessRevision> revisions() {
        return List.of(
                new ProcessRevision("entry-1", "almaty-1", OURS, 1, Optional.of(Instant.EPOCH)),
                new ProcessRevision("agent-1", "almaty-1", THEIRS, 0, Optional.empty()));
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
                ? Optional.of(
                        new RequestExplanation(Optional.of(OURS), List.of("+0 ms: came.", "+3 ms: sent to drafter-1.")))
                : Optional.empty();
    }
}
