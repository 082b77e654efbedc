package org.aspenmoor.internal.administration;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.FleetView;
import org.aspenmoor.internal.document.ServiceName;

/** View of the fleet from the documents in force and the backend servers known to an entry. */
public final class RegistryFleetView implements FleetView {
    private final DocumentRegistry registry;
    private final ProcessStatusSource source;

    public RegistryFleetView(DocumentRegistry registry, ProcessStatusSource source) {
        this.registry = registry;
        this.source = source;
    }

    /** Returns empty, as a data centre that is unknown to this entry may be a new one without processes. */
    @Override
    public Optional<Boolean> hasDataCentre(String name) {
        return Optional.empty();
    }

    @Override
    public Optional<String> dataCentreOf(String backend) {
        return source.backends().stream()
                .filter(status -> status.name().equals(backend))
                .map(BackendStatus::dataCentre)
                .findFirst();
    }

    @Override
    public Optional<ServiceName> ownerOf(String backend) {
        return registry.all().stream()
                .map(DocumentInForce::document)
                .filter(document -> document.backend(backend).isPresent())
                .map(ServiceName::of)
                .findFirst();
    }

    @Override
    public Optional<ServiceName> otherServiceOfModel(ServiceName self, String model) {
        return registry.all().stream()
                .map(DocumentInForce::document)
                .filter(document -> document.team().equals(self.team()))
                .filter(document -> !document.service().equals(self.service()))
                .filter(document -> document.model(model).isPresent())
                .map(ServiceName::of)
                .findFirst();
    }

    @Override
    public Optional<Boolean> isTokenOfOtherTeam(String team, String tokenHash) {
        return Optional.of(registry.all().stream()
                .map(DocumentInForce::document)
                .filter(document -> !document.team().equals(team))
                .anyMatch(document -> document.callerTokenHashes().contains(tokenHash)));
    }

    /** Returns empty, as entries do not query the weight store: its rate limit is reserved for the engines. */
    @Override
    public Optional<Boolean> hasModelVersion(String model, String version) {
        return Optional.empty();
    }

    @Override
    public Optional<Boolean> hasMemoryFor(String engine, String model) {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> minTokenInterval(String model) {
        return Optional.empty();
    }
}
