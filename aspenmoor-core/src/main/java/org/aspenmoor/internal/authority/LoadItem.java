package org.aspenmoor.internal.authority;

import java.util.Optional;
import org.aspenmoor.internal.engine.EngineOrder;

/**
 * A model or adapter version that an engine has to keep in memory.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter; empty for the model itself
 * @param version the version to load
 */
public record LoadItem(String model, Optional<String> adapter, String version) {
    /** Returns the name under which an engine reports the item as loaded. */
    public String label() {
        return adapter.map(name -> model + ":" + name).orElse(model) + "@" + version;
    }

    /** Returns the order that loads the item. */
    public EngineOrder order() {
        return adapter.<EngineOrder>map(name -> new EngineOrder.LoadAdapter(model, name, version))
                .orElseGet(() -> new EngineOrder.LoadModel(model, version));
    }
}
