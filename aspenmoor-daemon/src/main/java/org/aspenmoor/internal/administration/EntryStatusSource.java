package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.jboss.logging.Logger;

/** Provides the status of an entry from the state dump of its event loop, its metrics and its documents. */
public final class EntryStatusSource implements ProcessStatusSource {
    private static final Logger LOG = Logger.getLogger("administration");
    private static final Duration EVENT_LOOP_TIMEOUT = Duration.ofSeconds(5);

    private final String process;
    private final String dataCentre;
    private final DocumentRegistry registry;
    private final KindCounts counts;
    private final Supplier<CompletableFuture<ObjectNode>> dumpSupplier;
    private final Function<RequestId, CompletableFuture<Optional<List<String>>>> traces;
    private final Supplier<List<DutyStatus>> duties;

    public EntryStatusSource(
            String process,
            String dataCentre,
            DocumentRegistry registry,
            KindCounts counts,
            Supplier<CompletableFuture<ObjectNode>> dumpSupplier,
            Function<RequestId, CompletableFuture<Optional<List<String>>>> traces,
            Supplier<List<DutyStatus>> duties) {
        this.process = process;
        this.dataCentre = dataCentre;
        this.registry = registry;
        this.counts = counts;
        this.dumpSupplier = dumpSupplier;
        this.traces = traces;
        this.duties = duties;
    }

    @Override
    public String process() {
        return process;
    }

    @Override
    public List<ServiceStatus> services() {
        return registry.all().stream()
                .map(inForce -> ServiceName.of(inForce.document()))
                .map(name -> new ServiceStatus(name, counts.of(name)))
                .toList();
    }

    @Override
    public List<BackendStatus> backends() {
        List<BackendStatus> backends = new ArrayList<>();
        for (JsonNode node : eventLoopDump().path("backends")) {
            backends.add(new BackendStatus(
                    node.path("backend").asText(),
                    new ServiceName(
                            node.path("team").asText(), node.path("service").asText()),
                    node.path("dataCentre").asText(),
                    state(node),
                    Optional.of(node.path("leaving").asText()).filter(reason -> !reason.isEmpty()),
                    role(node.path("role").asText()),
                    load(node),
                    loaded(node),
                    node.path("outstanding").asInt()));
        }
        return backends;
    }

    @Override
    public List<DutyStatus> duties() {
        return duties.get();
    }

    /** Returns the revisions of this entry only; to see those of several entries, each has to be queried. */
    @Override
    public List<ProcessRevision> revisions() {
        return registry.all().stream().map(this::revision).toList();
    }

    @Override
    public Optional<JsonNode> dump(String processName) {
        return processName.equals(process) ? Optional.of(eventLoopDump()) : Optional.empty();
    }

    @Override
    public Optional<RequestExplanation> explain(RequestId id) {
        return await(traces.apply(id), Optional.empty())
                .map(sentences -> new RequestExplanation(Optional.empty(), sentences));
    }

    private ProcessRevision revision(DocumentInForce inForce) {
        return new ProcessRevision(
                process,
                dataCentre,
                ServiceName.of(inForce.document()),
                inForce.document().revision(),
                Optional.of(inForce.appliedAt()));
    }

    private static BackendState state(JsonNode node) {
        if (!node.path("linked").asBoolean()) {
            return BackendState.UNREACHABLE;
        }
        if (!node.path("leaving").asText().isEmpty()) {
            return BackendState.LEAVING;
        }
        return node.path("takesWork").asBoolean() ? BackendState.READY : BackendState.AWAY;
    }

    /** Returns the load; empty for a plain service and before an engine's first report. */
    private static Optional<EngineLoad> load(JsonNode node) {
        if (!node.has("running")) {
            return Optional.empty();
        }
        return Optional.of(new EngineLoad(
                node.path("sequence").asLong(),
                node.path("queuedPrefillTokens").asLong(),
                node.path("running").asInt(),
                node.path("mostRunning").asInt(),
                node.path("freeCachePieces").asInt(),
                node.path("allCachePieces").asInt()));
    }

    private static List<String> loaded(JsonNode node) {
        List<String> loaded = new ArrayList<>();
        node.path("loaded").forEach(item -> loaded.add(item.asText()));
        return loaded;
    }

    private static Optional<EngineRole> role(String text) {
        for (EngineRole role : EngineRole.values()) {
            if (role.name().equals(text.toUpperCase(Locale.ROOT))) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }

    private ObjectNode eventLoopDump() {
        return await(dumpSupplier.get(), JsonNodeFactory.instance.objectNode());
    }

    /**
     * Waits with a time limit, so that a blocked event loop does not block the threads that answer operators; its part
     * of the status is then omitted.
     */
    private static <T> T await(CompletableFuture<T> answer, T defaultValue) {
        try {
            return answer.get(EVENT_LOOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return defaultValue;
        } catch (ExecutionException | TimeoutException failure) {
            LOG.warnf("administration: the event loop did not answer, its part of the status is omitted: %s", failure);
            return defaultValue;
        }
    }
}
