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

/** The queue of each service, created with its first request or load report. */
final class ServiceQueues implements PeerListener {
    private final DocumentRegistry registry;
    private final RouterSettings routerSettings;
    private final EngineSpeed speed;
    private final int maxWaiting;
    private final RandomGenerator random;
    private final Map<ServiceName, ServiceQueue> serviceQueues = new HashMap<>();

    ServiceQueues(DocumentRegistry registry, RouterSettings routerSettings, int maxWaiting, RandomGenerator random) {
        this.registry = registry;
        this.routerSettings = routerSettings;
        this.speed = routerSettings.speed();
        this.maxWaiting = maxWaiting;
        this.random = random;
    }

    ServiceQueue of(ServiceDocument document) {
        return serviceQueues.computeIfAbsent(ServiceName.of(document), name -> newQueue(document));
    }

    Collection<ServiceQueue> all() {
        return serviceQueues.values();
    }

    @Override
    public void loadReported(AgentPeer peer, long now) {
        documentOf(peer).ifPresent(document -> of(document).router().updateLoad(peer, document, now));
    }

    @Override
    public void linkClosed(AgentPeer peer) {
        documentOf(peer).ifPresent(document -> of(document).router().remove(peer));
    }

    private Optional<ServiceDocument> documentOf(AgentPeer peer) {
        return registry.find(
                new ServiceName(peer.registration().team(), peer.registration().service()));
    }

    private ServiceQueue newQueue(ServiceDocument document) {
        long engines = document.backends().stream()
                .filter(backend -> backend instanceof BackendDeclaration.EngineDeclaration)
                .count();
        AdmissionSettings defaults = AdmissionSettings.defaults((double) Math.max(1, engines));
        AdmissionSettings settings =
                new AdmissionSettings(maxWaiting, defaults.initialRate(), defaults.rateSmoothingSeconds());
        EngineRouter router = new EngineRouter(new Router(routerSettings, random), routerSettings.dataCentre());
        return new ServiceQueue(new AdmissionQueue(settings), router, speed);
    }
}
