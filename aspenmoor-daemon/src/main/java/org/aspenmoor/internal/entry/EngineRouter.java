package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.aspenmoor.internal.admission.LengthEstimate;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;
import org.aspenmoor.internal.wire.v1.LoadReport;

/**
 * Passes the load reports of agents to the router and requests routing decisions from it.
 *
 * <p>One router serves one service of one team, so that engines of different teams are never compared.
 */
final class EngineRouter {
    private final Router router;
    private final String dataCentre;
    private final Map<String, Set<String>> loadedByBackend = new HashMap<>();

    EngineRouter(Router router, String dataCentre) {
        this.router = router;
        this.dataCentre = dataCentre;
    }

    void updateLoad(AgentPeer peer, ServiceDocument document, long now) {
        if (peer.load().isEmpty()) {
            return;
        }
        LoadReport report = peer.load().get();
        Set<String> loaded = loadedLabels(report, document);
        loadedByBackend.put(peer.backend(), loaded);
        router.addEngine(peer.backend(), peer.registration().dataCentre());
        router.applyReport(
                peer.backend(),
                engineLoad(report),
                EngineRole.valueOf(report.getRole()),
                report.getReady(),
                loaded,
                Duration.ofMillis(report.getAgeMilliseconds()),
                now);
    }

    void remove(AgentPeer peer) {
        loadedByBackend.remove(peer.backend());
        router.removeEngine(peer.backend());
    }

    Optional<RoutingDecision> decide(
            ActiveRequest request, LengthEstimate estimate, Predicate<String> isAvailable, long now) {
        return usableVersionLabels(request).stream()
                .map(label -> routingRequest(request, label, estimate))
                .flatMap(Optional::stream)
                .map(routing -> router.choose(routing, isAvailable::test, now))
                .flatMap(Optional::stream)
                .filter(decision -> decision.prefillEngine().isEmpty())
                .min(Comparator.comparingDouble(RoutingDecision::finishSeconds));
    }

    void recordDispatch(ActiveRequest request, LengthEstimate estimate, RoutingDecision decision, long now) {
        String label = usableVersionLabels(request).stream()
                .filter(candidate -> loadedByBackend
                        .getOrDefault(decision.engine(), Set.of())
                        .contains(candidate))
                .findFirst()
                .orElse("");
        request.setVersionLabel(label);
        routingRequest(request, label, estimate).ifPresent(routing -> router.recordSent(routing, decision, now));
    }

    void recordEnd(ActiveRequest request, long now) {
        router.recordEnded(request.id(), now);
    }

    /**
     * Returns the labels of the model versions under which a request may run, the declared version first.
     *
     * <p>During a rollout some engines hold the old version and some the new one. A new request may start under either;
     * a stream whose tokens were partly delivered stays with its version, because another version would continue the
     * text differently.
     */
    private Set<String> usableVersionLabels(ActiveRequest request) {
        if (request.hasDeliveredTokens()) {
            return Set.of(request.versionLabel());
        }
        Set<String> versionLabels = new LinkedHashSet<>();
        if (request.incoming().work() instanceof CallerWork.Generation generation) {
            String model = generation.request().model();
            request.document().model(model).map(EngineRouter::modelLabel).ifPresent(versionLabels::add);
            loadedByBackend.values().stream()
                    .flatMap(Set::stream)
                    .filter(loaded -> loaded.startsWith(model + "@"))
                    .sorted()
                    .forEach(versionLabels::add);
        }
        return versionLabels;
    }

    private Optional<RoutingRequest> routingRequest(ActiveRequest request, String label, LengthEstimate estimate) {
        if (!(request.incoming().work() instanceof CallerWork.Generation generation)) {
            return Optional.empty();
        }
        CompletionRequest completion = generation.request();
        Optional<ModelDeclaration> model = request.document().model(completion.model());
        return model.map(declared -> new RoutingRequest(
                request.id(),
                label,
                completion.adapter().flatMap(adapter -> adapterLabel(declared, adapter)),
                completion.promptTokens(),
                completion.prefix(),
                (int) Math.round(estimate.outputTokens()),
                request.kind().weight(),
                request.deadlineAt(),
                dataCentre));
    }

    private static String modelLabel(ModelDeclaration model) {
        return model.name() + "@" + model.version();
    }

    private static Optional<String> adapterLabel(ModelDeclaration model, String adapter) {
        return model.adapters().stream()
                .filter(declared -> declared.name().equals(adapter))
                .map(declared -> model.name() + ":" + declared.name() + "@" + declared.version())
                .findFirst();
    }

    // An engine that does not report its loaded models is assumed to run those declared in the document of the team.
    private static Set<String> loadedLabels(LoadReport report, ServiceDocument document) {
        if (!report.getLoadedList().isEmpty()) {
            return new HashSet<>(report.getLoadedList());
        }
        List<String> declared =
                document.models().stream().map(EngineRouter::modelLabel).toList();
        return new HashSet<>(declared);
    }

    private static EngineLoad engineLoad(LoadReport report) {
        return new EngineLoad(
                report.getSequence(),
                report.getQueuedPrefillTokens(),
                report.getRunningSequences(),
                report.getMostSequences(),
                report.getFreeCachePieces(),
                report.getAllCachePieces());
    }
}
