package org.aspenmoor.internal.gateway;

import java.time.Duration;
import org.aspenmoor.internal.gateway.backend.AnswerCollector;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.request.CacheListing;
import org.aspenmoor.internal.serving.BackendServer;

/** Asks engines for the contents of their caches. Confined to the event loop. */
final class CacheListQueries {
    /** By then, the engine's answers to requests have shown most of what it has cached. */
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

    private final CacheListing cacheListing;
    private final BackendConnections connections;
    private final BackendProtocol protocol;
    private final DecisionLog log;

    CacheListQueries(
            CacheListing cacheListing, BackendConnections connections, BackendProtocol protocol, DecisionLog log) {
        this.cacheListing = cacheListing;
        this.connections = connections;
        this.protocol = protocol;
        this.log = log;
    }

    /** Asks the engines whose lists are due. */
    void sendDue() {
        cacheListing.takeEngines().forEach(this::query);
    }

    private void query(BackendServer engine) {
        AnswerCollector collector = new AnswerCollector();
        collector.future().whenComplete((cacheList, failure) -> {
            if (failure != null) {
                log.notable("cache-unknown")
                        .with("server", engine.id())
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                return;
            }
            cacheListing.received(engine, protocol.readCacheList(cacheList.body()));
        });
        connections.call(engine, protocol.createCacheListRequest(engine.id()), TIME_LIMIT, collector);
    }
}
