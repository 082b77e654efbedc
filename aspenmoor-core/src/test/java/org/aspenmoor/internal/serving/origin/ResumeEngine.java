package org.aspenmoor.internal.serving.origin;

import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;

/** An engine of the simulation; its registration is that of a server which is ready. */
final class ResumeEngine {
    static final String SERVICE = "drafting";

    private final String id;
    private final SoftwareVersion version;
    private boolean alive = true;

    ResumeEngine(int number, String version) {
        this.id = "engine-" + number;
        this.version = new SoftwareVersion(version);
    }

    String id() {
        return id;
    }

    SoftwareVersion version() {
        return version;
    }

    boolean alive() {
        return alive;
    }

    void leave() {
        alive = false;
    }

    BackendServer registration() {
        return new BackendServer(
                id, 1, SERVICE, version, "127.0.0.1", 1, "here", 8, BackendState.READY, EngineRole.DECODE);
    }
}
