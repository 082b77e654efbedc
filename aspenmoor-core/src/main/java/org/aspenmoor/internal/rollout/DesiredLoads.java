package org.aspenmoor.internal.rollout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.document.AdapterDeclaration;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineOrder;

/** The models and adapters that each engine of a service should have loaded, with the orders that load them. */
final class DesiredLoads {
    private final List<ModelDeclaration> models;
    private final Map<String, EngineOrder> orders = new LinkedHashMap<>();

    DesiredLoads(ServiceDocument document) {
        this.models = document.models();
        for (ModelDeclaration model : models) {
            String name = model.name();
            orders.put(name + "@" + model.version(), new EngineOrder.LoadModel(name, model.version()));
            for (AdapterDeclaration adapter : model.adapters()) {
                orders.put(
                        name + ":" + adapter.name() + "@" + adapter.version(),
                        new EngineOrder.LoadAdapter(name, adapter.name(), adapter.version()));
            }
        }
    }

    /** Returns the first model or adapter that is not loaded; models come before their adapters. */
    Optional<String> firstMissing(Set<String> loaded) {
        return orders.keySet().stream().filter(item -> !loaded.contains(item)).findFirst();
    }

    EngineOrder order(String item) {
        return orders.get(item);
    }

    /** Returns the order that unloads an adapter which the document no longer declares. */
    Optional<EngineOrder> firstUnload(Set<String> loaded) {
        for (ModelDeclaration model : models) {
            String prefix = model.name() + ":";
            for (String item : loaded.stream().sorted().toList()) {
                if (item.startsWith(prefix)) {
                    String adapter = item.substring(prefix.length(), item.lastIndexOf('@'));
                    boolean declared = model.adapters().stream()
                            .anyMatch(declaration -> declaration.name().equals(adapter));
                    if (!declared) {
                        return Optional.of(new EngineOrder.UnloadAdapter(model.name(), adapter));
                    }
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the declared models of which the engine has any version loaded. */
    List<String> declaredModelsOn(RolloutEngine engine) {
        return models.stream()
                .map(ModelDeclaration::name)
                .filter(engine::holdsModel)
                .toList();
    }
}
