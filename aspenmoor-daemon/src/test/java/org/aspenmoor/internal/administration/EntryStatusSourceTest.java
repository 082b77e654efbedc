package org.aspenmoor.internal.administration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EntryStatusSourceTest {
    private static final ServiceName SERVICE = new ServiceName("studio", "drafting");

    private final DocumentRegistry registry = new DocumentRegistry(new ManualTimeSource());
    private final PrometheusRegistry metrics = new PrometheusRegistry();
    private final ObjectNode dump = JsonNodeFactory.instance.objectNode();
    private final EntryStatusSource source = new EntryStatusSource(
            "entry-1",
            "almaty-1",
            registry,
            new KindCounts(metrics),
            () -> CompletableFuture.completedFuture(dump),
            id -> CompletableFuture.completedFuture(Optional.of(List.of("+0 ms: came"))),
            List::of);

    @BeforeMethod
    public void clearDump() {
        dump.removeAll();
    }

    @Test
    public void should_count_requests_by_kind_from_the_metrics() {
        Counter requests = Counter.builder()
                .name("aspenmoor_requests_total")
                .labelNames("team", "service", "kind", "outcome")
                .register(metrics);
        requests.labelValues("studio", "drafting", "cue", "answered").inc(5);
        requests.labelValues("studio", "drafting", "cue", "not-run").inc(2);
        requests.labelValues("other", "drafting", "cue", "answered").inc(9);
        registry.offer(new ServiceDocument("studio", "drafting", 3, List.of(), List.of(), 0, List.of(), List.of()));

        assertEquals(
                source.services(), List.of(new ServiceStatus(SERVICE, List.of(new KindStatus("cue", 5, 2, 0, 0)))));
        assertEquals(source.revisions().getFirst().revision(), 3L);
    }

    @Test
    public void should_derive_backend_states_from_the_dump() {
        addBackend("a", true, true, "", "DECODE");
        addBackend("b", true, false, "", "");
        addBackend("c", true, false, "its host is leaving", "");
        addBackend("d", false, false, "", "");

        List<BackendStatus> backends = source.backends();

        assertEquals(
                backends.stream().map(BackendStatus::state).toList(),
                List.of(BackendState.READY, BackendState.AWAY, BackendState.LEAVING, BackendState.UNREACHABLE));
        assertEquals(backends.getFirst().role(), Optional.of(EngineRole.DECODE));
        assertEquals(backends.get(2).detail(), Optional.of("its host is leaving"));
    }

    @Test
    public void should_show_the_load_that_an_engine_reported() {
        addBackend("a", true, true, "", "WHOLE");
        ObjectNode reported = (ObjectNode) dump.at("/backends/0");
        reported.put("running", 3).put("mostRunning", 8).put("queuedPrefillTokens", 4000);
        reported.put("freeCachePieces", 100).put("allCachePieces", 2000);
        reported.putArray("loaded").add("m@1");

        BackendStatus backend = source.backends().getFirst();

        assertEquals(backend.load(), Optional.of(new EngineLoad(0, 4000, 3, 8, 100, 2000)));
        assertEquals(backend.loaded(), List.of("m@1"));
    }

    @Test
    public void should_return_an_explanation_without_a_service() {
        RequestExplanation explanation = source.explain(new RequestId(1, 1)).orElseThrow();

        assertEquals(explanation.sentences(), List.of("+0 ms: came"));
        assertTrue(explanation.service().isEmpty());
    }

    private void addBackend(String name, boolean linked, boolean takesWork, String leaving, String role) {
        dump.withArray("backends")
                .addObject()
                .put("backend", name)
                .put("team", "studio")
                .put("service", "drafting")
                .put("dataCentre", "almaty-1")
                .put("linked", linked)
                .put("takesWork", takesWork)
                .put("leaving", leaving)
                .put("outstanding", 1)
                .put("role", role);
    }
}
