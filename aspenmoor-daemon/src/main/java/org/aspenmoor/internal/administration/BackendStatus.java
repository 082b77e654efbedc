package org.aspenmoor.internal.administration;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Status of a backend server at one moment.
 *
 * @param name name of the backend server
 * @param service service it belongs to
 * @param dataCentre data centre in which it runs
 * @param state whether it accepts new work
 * @param detail reason why it accepts no new work; empty if it accepts work or no reason is known
 * @param role role of an engine; empty for a plain service
 * @param load last reported load; empty for a plain service and before the first report
 * @param loaded models and adapters in its memory
 * @param outstanding number of requests sent to it by this entry that have not ended
 */
public record BackendStatus(
        String name,
        ServiceName service,
        String dataCentre,
        BackendState state,
        Optional<String> detail,
        Optional<EngineRole> role,
        Optional<EngineLoad> load,
        List<String> loaded,
        int outstanding) {
    public BackendStatus {
        loaded = List.copyOf(loaded);
    }
}
