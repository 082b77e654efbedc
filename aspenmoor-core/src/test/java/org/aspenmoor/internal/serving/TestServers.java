package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/** Backend servers for tests. */
final class TestServers {
    static final String PLAIN_SERVICE = "registry";
    static final String MODEL_SERVICE = "drafting";
    static final String DATA_CENTRE = "here";
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

    static BackendServer drainingEngine(String id, EngineRole role) {
        return server(id, MODEL_SERVICE, ENGINE_SLOTS, BackendState.DRAINING, role);
    }

    private static BackendServer server(String id, String service, int slots, BackendState state, EngineRole role) {
        return new BackendServer(id, 1, service, "127.0.0.1", 1, DATA_CENTRE, slots, state, role);
    }
}
