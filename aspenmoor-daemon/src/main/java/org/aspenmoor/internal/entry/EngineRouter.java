package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
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
 * Feeds the router with what agents report and asks it for decisions.
 *
 * <p>One router serves one service of one team, so that engines of different teams are never compared.
 */
final class EngineRouter {
    private final Router router;
    private final String dataCentre;

    EngineRouter(Router router, String dataCentre) {
        this.router = router;
        this.dataCentre = dataCentre;
    }

    void reported(AgentPeer peer, ServiceDocument document, long now) {
        if (peer.load().isEmpty()) {
            return;
        }
        LoadReport report = peer.load().get();
        router.added(peer.backend(), peer.registration().dataCentre());
        router.reported(
                peer.backend(),
                loadOf(report),
                EngineRole.valueOf(report.getRole()),
                report.getReady(),
                loadedOf(report, document),
                Duration.ofMillis(report.getAgeMilliseconds()),
                now);
    }

    void gone(AgentPeer peer) {
        router.removed(peer.backend());
    }

    Optional<RoutingDecision> decide(ActiveRequest request, LengthEstimate estimate, Predicate<String> open, long now) {
        return routingRequest(request, estimate)
                .flatMap(routed -> router.choose(routed, open::test, now))
                .filter(decision -> decision.prefillBackend().isEmpty());
    }

    void sent(ActiveRequest request, LengthEstimate estimate, RoutingDecision decision, long now) {
        routingRequest(request, estimate).ifPresent(routed -> router.sent(routed, decision, now));
    }

    void ended(ActiveRequest request, long now) {
        router.ended(request.id(), now);
    }

    private Optional<RoutingRequest> routingRequest(ActiveRequest request, LengthEstimate estimate) {
        if (!(request.incoming().work() instanceof CallerWork.Generation generation)) {
            return Optional.empty();
        }
        CompletionRequest completion = generation.request();
        Optional<ModelDeclaration> model = request.document().model(completion.model());
        return model.map(declared -> new RoutingRequest(
                request.id(),
                label(declared),
                completion.adapter().flatMap(adapter -> adapterLabel(declared, adapter)),
                completion.promptTokens(),
                completion.prefix(),
                (int) Math.round(estimate.outputTokens()),
                request.kind().weight(),
                request.deadlineAt(),
                dataCentre));
    }

    private static String label(ModelDeclaration model) {
        return model.name() + "@" + model.version();
    }

    private static Optional<String> adapterLabel(ModelDeclaration model, String adapter) {
        return model.adapters().stream()
                .filter(declared -> declared.name().equals(adapter))
                .map(declared -> model.name() + ":" + declared.name() + "@" + declared.version())
                .findFirst();
    }

    // An engine that does not say what it has loaded is taken to run what the team's document declares.
    private static Set<String> loadedOf(LoadReport report, ServiceDocument document) {
        if (!report.getLoadedList().isEmpty()) {
            return new HashSet<>(report.getLoadedList());
        }
        List<String> declared =
                document.models().stream().map(EngineRouter::label).toList();
        return new HashSet<>(declared);
    }

    private static EngineLoad loadOf(LoadReport report) {
        return new EngineLoad(
                report.getSequence(),
                report.getQueuedPrefillTokens(),
                report.getRunningSequences(),
                report.getMostSequences(),
                report.getFreeCachePieces(),
                report.getAllCachePieces());
    }
}
