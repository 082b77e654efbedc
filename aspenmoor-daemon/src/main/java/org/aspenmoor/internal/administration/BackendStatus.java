package org.aspenmoor.internal.administration;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * A backend server at one moment.
 *
 * @param name its name
 * @param service the service it works for
 * @param dataCentre where it stands
 * @param state whether it takes new work
 * @param detail why it does not, where it does not
 * @param role the role of an engine; empty for a plain service
 * @param load the load it last reported
 * @param loaded models and adapters in its memory
 * @param outstanding requests that this entry has sent and that have not ended
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
