package org.aspenmoor.internal.authority;

import java.util.Optional;
import org.aspenmoor.internal.engine.EngineOrder;

/**
 * A model or adapter version that an engine shall have in memory.
 *
 * @param model the model's name
 * @param adapter the adapter's name, for an adapter
 * @param version the version to run
 */
public record LoadItem(String model, Optional<String> adapter, String version) {
    /** Returns the name under which an engine reports it as loaded. */
    public String label() {
        return adapter.map(name -> model + ":" + name).orElse(model) + "@" + version;
    }

    /** Returns the order that loads it. */
    public EngineOrder order() {
        return adapter.<EngineOrder>map(name -> new EngineOrder.LoadAdapter(model, name, version))
                .orElseGet(() -> new EngineOrder.LoadModel(model, version));
    }
}
