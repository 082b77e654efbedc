package org.aspenmoor.internal.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.admission.AdmissionQueue;
import org.aspenmoor.internal.admission.AdmissionSettings;
import org.aspenmoor.internal.document.BackendDeclaration;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RouterSettings;

/** The serviceQueue of each service, made when its first request or report comes. */
final class ServiceQueues implements PeerListener {
    private final DocumentRegistry registry;
    private final RouterSettings routerSettings;
    private final EngineSpeed speed;
    private final int mostWaiting;
    private final RandomGenerator random;
    private final Map<ServiceName, ServiceQueue> serviceQueues = new HashMap<>();

    ServiceQueues(DocumentRegistry registry, RouterSettings routerSettings, int mostWaiting, RandomGenerator random) {
        this.registry = registry;
        this.routerSettings = routerSettings;
        this.speed = routerSettings.speed();
        this.mostWaiting = mostWaiting;
        this.random = random;
    }

    ServiceQueue of(ServiceDocument document) {
        return serviceQueues.computeIfAbsent(ServiceName.of(document), name -> newLane(document));
    }

    Collection<ServiceQueue> all() {
        return serviceQueues.values();
    }

    @Override
    public void reported(AgentPeer peer, long now) {
        documentOf(peer).ifPresent(document -> of(document).router().reported(peer, document, now));
    }

    @Override
    public void gone(AgentPeer peer) {
        documentOf(peer).ifPresent(document -> of(document).router().gone(peer));
    }

    private Optional<ServiceDocument> documentOf(AgentPeer peer) {
        return registry.find(
                new ServiceName(peer.registration().team(), peer.registration().service()));
    }

    private ServiceQueue newLane(ServiceDocument document) {
        long engines = document.backends().stream()
                .filter(backend -> backend instanceof BackendDeclaration.EngineDeclaration)
                .count();
        AdmissionSettings usual = AdmissionSettings.defaults((double) Math.max(1, engines));
        AdmissionSettings settings =
                new AdmissionSettings(mostWaiting, usual.initialRate(), usual.rateSmoothingSeconds());
        EngineRouter router = new EngineRouter(new Router(routerSettings, random), routerSettings.dataCentre());
        return new ServiceQueue(new AdmissionQueue(settings), router, speed);
    }
}
