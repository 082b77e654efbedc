package org.aspenmoor.internal.gateway.membership;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.freshness.ServerContentHash;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.time.TimeSource;

/** Passes each change to the registration of a backend server to the event loop. */
public final class ServerRegistrationListener implements CollectionListener {
    private final RegistrationDecoder decoder;
    private final ServingState state;
    private final StreamOriginTracker origins;
    private final BackendConnections connections;
    private final Executor eventLoop;
    private final TimeSource time;
    private final DecisionLog log;
    private final DependencyLog dependency;
    private final LongSupplier generation;
    private final CollectionObserver observer;
    private long lastGeneration;
    private boolean synchronisedBefore;
    private long listingRequestedAt;

    /**
     * Creates a listener.
     *
     * @param generation supplies the generation of the store's history
     * @param observer receives what has been read
     */
    public ServerRegistrationListener(
            RegistrationDecoder decoder,
            ServingState state,
            StreamOriginTracker origins,
            BackendConnections connections,
            Executor eventLoop,
            TimeSource time,
            DecisionLog log,
            LongSupplier generation,
            CollectionObserver observer) {
        this.decoder = decoder;
        this.state = state;
        this.origins = origins;
        this.connections = connections;
        this.eventLoop = eventLoop;
        this.time = time;
        this.log = log;
        this.dependency = new DependencyLog(log, "servers");
        this.generation = generation;
        this.observer = observer;
    }

    @Override
    public void changed(StoredObject object) {
        try {
            BackendServer server = decoder.readServer(object);
            eventLoop.execute(() -> {
                state.serverRegistered(server);
                origins.serverObserved(server);
            });
            observer.changed(server.id(), ServerContentHash.of(server));
        } catch (StoreMalformedException malformed) {
            // Any process may write an invalid registration. It describes no usable server; the other registrations
            // stay valid.
            log.notable("server-unreadable")
                    .with("object", object.key().toString())
                    .with("revision", object.version())
                    .with("reason", malformed.problem())
                    .write();
            serverRemoved(object);
        }
    }

    @Override
    public void deleted(StoredObject object) {
        serverRemoved(object);
    }

    @Override
    public void listing() {
        listingRequestedAt = time.monotonicNanos();
    }

    @Override
    public void synchronised() {
        dependency.restored();
        detectStoreRestore();
        synchronisedBefore = true;
        long requestedAt = listingRequestedAt;
        eventLoop.execute(() -> state.serverListSynchronised(requestedAt, time.monotonicNanos()));
    }

    @Override
    public void confirmed(long confirmedGeneration, long sentAt) {
        observer.confirmed(confirmedGeneration, sentAt);
    }

    @Override
    public void interrupted(StoreException cause) {
        dependency.lost(cause.problem());
        eventLoop.execute(() -> {
            state.serverListInterrupted(time.monotonicNanos());
            // The list may be complete again before the next periodic check, which then would not notice the gap.
            origins.serversObserved(state.servers(), false);
        });
    }

    /**
     * Detects a store that was restored from an older copy: a server may then be missing because the store has lost
     * its latest writes, and not because the server has left.
     */
    private void detectStoreRestore() {
        long currentGeneration = generation.getAsLong();
        boolean restored = synchronisedBefore && currentGeneration > lastGeneration;
        lastGeneration = currentGeneration;
        if (restored) {
            eventLoop.execute(() -> state.storeRolledBack(time.monotonicNanos()));
        }
    }

    private void serverRemoved(StoredObject object) {
        String id = object.key().name();
        observer.removed(id);
        detectStoreRestore();
        eventLoop.execute(() -> {
            if (state.registrationMissing(id, time.monotonicNanos())) {
                connections.remove(id);
            }
        });
    }
}
