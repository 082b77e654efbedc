package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * A prompt that one engine has computed and keeps until another fetches it.
 *
 * @param engine the engine that keeps it
 * @param source where it lies
 */
record ComputedPrompt(BackendServer engine, CacheSource source) {
    /** Tells the engine that nobody will fetch it. */
    void free(RequestTools tools, String requestId) {
        tools.state()
                .log()
                .usual("prompt-freed")
                .with("request", requestId)
                .with("server", engine.id())
                .write();
        tools.connections().send(engine, "", tools.protocol().release(source), new IgnoredAnswer());
    }
}
