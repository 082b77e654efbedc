package org.aspenmoor.internal.planner;

import java.util.Set;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * An engine as the entry's event loop saw it at one moment.
 *
 * @param name its name
 * @param service the service it serves
 * @param dataCentre where it stands
 * @param linked whether its agent is connected
 * @param ready whether it takes new work
 * @param role its role
 * @param loaded what it has in memory
 * @param running requests that generate on it
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
