package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The difference between two documents of one service.
 *
 * @param changes all changes, in the order models, kinds, role change price, caller tokens, backend servers
 */
public record DocumentDifference(List<DocumentChange> changes) {
    public DocumentDifference {
        changes = List.copyOf(changes);
    }

    /** Compares two documents; the revision is not compared. */
    public static DocumentDifference between(ServiceDocument before, ServiceDocument after) {
        List<DocumentChange> changes = new ArrayList<>();
        addModels(before, after, changes);
        KindDifference.add(before.kinds(), after.kinds(), changes);
        if (before.roleChangePrice() != after.roleChangePrice()) {
            changes.add(new DocumentChange.RoleChangePriceChanged(before.roleChangePrice(), after.roleChangePrice()));
        }
        addCallerTokens(before.callerTokenHashes(), after.callerTokenHashes(), changes);
        addBackends(before, after, changes);
        return new DocumentDifference(changes);
    }

    /** Returns the difference between no document and the first document of a service. */
    public static DocumentDifference ofNew(ServiceDocument document) {
        ServiceDocument empty = new ServiceDocument(
                document.team(), document.service(), 0, List.of(), List.of(), 0, List.of(), List.of());
        return between(empty, document);
    }

    /** Returns whether the two documents declare the same. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Returns the descriptions of the changes, one sentence each. */
    public List<String> descriptions() {
        return changes.stream().map(DocumentChange::description).toList();
    }

    private static void addModels(ServiceDocument before, ServiceDocument after, List<DocumentChange> changes) {
        Map<String, ModelDeclaration> remaining = byName(before.models(), ModelDeclaration::name);
        for (ModelDeclaration model : after.models()) {
            ModelDeclaration previous = remaining.remove(model.name());
            if (previous == null) {
                changes.add(new DocumentChange.ModelAdded(model));
                addAdapters(model.name(), List.of(), model.adapters(), changes);
                continue;
            }
            if (!previous.version().equals(model.version())) {
                changes.add(new DocumentChange.ModelVersionChanged(model.name(), previous.version(), model.version()));
            }
            addAdapters(model.name(), previous.adapters(), model.adapters(), changes);
        }
        remaining.values().forEach(model -> changes.add(new DocumentChange.ModelRemoved(model)));
    }

    private static void addAdapters(
            String model,
            List<AdapterDeclaration> before,
            List<AdapterDeclaration> after,
            List<DocumentChange> changes) {
        Map<String, AdapterDeclaration> remaining = byName(before, AdapterDeclaration::name);
        for (AdapterDeclaration adapter : after) {
            AdapterDeclaration previous = remaining.remove(adapter.name());
            if (previous == null) {
                changes.add(new DocumentChange.AdapterAdded(model, adapter));
            } else if (!previous.version().equals(adapter.version())) {
                changes.add(new DocumentChange.AdapterVersionChanged(
                        model, adapter.name(), previous.version(), adapter.version()));
            }
        }
        remaining.values().forEach(adapter -> changes.add(new DocumentChange.AdapterRemoved(model, adapter)));
    }

    private static void addCallerTokens(List<String> before, List<String> after, List<DocumentChange> changes) {
        int added = (int) after.stream().filter(hash -> !before.contains(hash)).count();
        int removed =
                (int) before.stream().filter(hash -> !after.contains(hash)).count();
        if (added + removed > 0) {
            changes.add(new DocumentChange.CallerTokensChanged(added, removed));
        }
    }

    private static void addBackends(ServiceDocument before, ServiceDocument after, List<DocumentChange> changes) {
        Map<String, BackendDeclaration> remaining = byName(before.backends(), BackendDeclaration::name);
        for (BackendDeclaration backend : after.backends()) {
            BackendDeclaration previous = remaining.remove(backend.name());
            if (previous == null) {
                changes.add(new DocumentChange.BackendAdded(backend));
            } else if (!previous.equals(backend)) {
                changes.add(new DocumentChange.BackendRedeclared(previous, backend));
            }
        }
        remaining.values().forEach(backend -> changes.add(new DocumentChange.BackendWithdrawn(backend)));
    }

    static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
        Map<String, T> named = new LinkedHashMap<>();
        items.forEach(item -> named.put(name.apply(item), item));
        return named;
    }
}
