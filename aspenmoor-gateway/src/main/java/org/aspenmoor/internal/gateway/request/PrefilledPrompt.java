package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * The cache of a prompt after prefill, which the prefill engine holds until a decode engine has transferred it.
 *
 * @param engine the prefill engine
 * @param source the address and handle of the cache
 */
record PrefilledPrompt(BackendServer engine, CacheSource source) {
    /** Notifies the engine that the cache will not be transferred, so that the engine can free its memory. */
    void release(ServingContext context, String requestId) {
        context.state()
                .log()
                .routine("prompt-freed")
                .with("request", requestId)
                .with("server", engine.id())
                .write();
        context.connections().call(engine, context.protocol().release(source), new IgnoringExchangeListener());
    }
}
