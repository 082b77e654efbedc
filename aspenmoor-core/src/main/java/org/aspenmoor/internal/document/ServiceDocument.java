package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;

/**
 * The document of a service: everything that its team declares for it.
 *
 * @param team the team that owns the service
 * @param service the service's name, unique within the team
 * @param revision the revision, incremented by one with every accepted change; 0 for a draft that was never accepted
 * @param models the models with their versions and adapters
 * @param kinds the kinds of request, in the order in which they are matched
 * @param roleChangePrice the cost of one role change, in units of weighted completed requests
 * @param callerTokenHashes SHA-256 hashes, in hexadecimal, of the tokens whose holders may call the service
 * @param backends the engines and plain services
 */
public record ServiceDocument(
        String team,
        String service,
        long revision,
        List<ModelDeclaration> models,
        List<RequestKind> kinds,
        double roleChangePrice,
        List<String> callerTokenHashes,
        List<BackendDeclaration> backends) {

    public ServiceDocument {
        models = List.copyOf(models);
        kinds = List.copyOf(kinds);
        callerTokenHashes = List.copyOf(callerTokenHashes);
        backends = List.copyOf(backends);
    }

    /** Returns the same content with another revision. */
    public ServiceDocument withRevision(long newRevision) {
        return new ServiceDocument(
                team, service, newRevision, models, kinds, roleChangePrice, callerTokenHashes, backends);
    }

    /** Returns the model with the given name. */
    public Optional<ModelDeclaration> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /** Returns the backend server with the given name. */
    public Optional<BackendDeclaration> backend(String name) {
        return backends.stream().filter(backend -> backend.name().equals(name)).findFirst();
    }
}
