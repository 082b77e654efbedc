package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/** Backend servers for tests. */
final class TestServers {
    static final String PLAIN_SERVICE = "registry";
    static final String MODEL_SERVICE = "drafting";
    static final String DATA_CENTRE = "here";
    static final SoftwareVersion VERSION = new SoftwareVersion("one");
    static final int CACHE_TOKENS = 700_000;

    private static final int PLAIN_SLOTS = 6;
    private static final int ENGINE_SLOTS = 128;

    private TestServers() {}

    static BackendServer plain(String id) {
        return server(id, PLAIN_SERVICE, PLAIN_SLOTS, BackendState.READY, EngineRole.WHOLE);
    }

    static BackendServer draining(String id) {
        return server(id, PLAIN_SERVICE, PLAIN_SLOTS, BackendState.DRAINING, EngineRole.WHOLE);
    }

    static BackendServer engine(String id, EngineRole role) {
        return server(id, MODEL_SERVICE, ENGINE_SLOTS, BackendState.READY, role);
    }

    static BackendServer engine(String id, SoftwareVersion version, EngineRole role) {
        return new BackendServer(
                id, 1, MODEL_SERVICE, version, "127.0.0.1", 1, DATA_CENTRE, ENGINE_SLOTS, BackendState.READY, role);
    }

    static BackendServer drainingEngine(String id, EngineRole role) {
        return server(id, MODEL_SERVICE, ENGINE_SLOTS, BackendState.DRAINING, role);
    }

    /** Returns the same server after a restart under its id. */
    static BackendServer nextIncarnation(BackendServer server) {
        return new BackendServer(
                server.id(),
                server.startedAt() + 1,
                server.service(),
                server.softwareVersion(),
                server.host(),
                server.port(),
                server.dataCentre(),
                server.slots(),
                server.state(),
                server.role());
    }

    private static BackendServer server(String id, String service, int slots, BackendState state, EngineRole role) {
        return new BackendServer(id, 1, service, VERSION, "127.0.0.1", 1, DATA_CENTRE, slots, state, role);
    }
}
