package org.aspenmoor.internal.serving.speed;

import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;

/** Servers for tests of probes. */
final class ProbeServers {
    static final String SERVICE = "model";

    private ProbeServers() {}

    static BackendServer server(String id) {
        return new BackendServer(
                id,
                1,
                SERVICE,
                new SoftwareVersion("one"),
                "127.0.0.1",
                1,
                "here",
                64,
                BackendState.READY,
                EngineRole.PREFILL);
    }
}
