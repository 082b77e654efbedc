package org.aspenmoor.internal.planner;

import java.util.Set;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * The state of an engine as known to the entry's event loop at one moment.
 *
 * @param name the name of the engine
 * @param service the service it belongs to
 * @param dataCentre the data centre it is located in
 * @param linked whether its agent is connected
 * @param ready whether it accepts new work
 * @param role its role
 * @param loaded the labels of the models and adapters it has loaded
 * @param running the number of sequences it is generating
 */
public record EngineSnapshot(
        String name,
        ServiceName service,
        String dataCentre,
        boolean linked,
        boolean ready,
        EngineRole role,
        Set<String> loaded,
        int running) {
    public EngineSnapshot {
        loaded = Set.copyOf(loaded);
    }
}
