package org.aspenmoor.internal.gateway.membership;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.time.TimeSource;

/** Takes each registration of a backend server to the event loop. */
public final class ServerListener implements CollectionListener {
    private final RegistrationDecoder decoder;
    private final ServingState state;
    private final BackendConnections connections;
    private final Executor eventLoop;
    private final TimeSource time;
    private final DecisionLog log;
    private final DependencyLog registrations;
    private final LongSupplier generation;
    private long knownGeneration;
    private boolean synchronisedBefore;

    /**
     * Makes a listener.
     *
     * @param generation the generation of the store's history
     */
    public ServerListener(
            RegistrationDecoder decoder,
            ServingState state,
            BackendConnections connections,
            Executor eventLoop,
            TimeSource time,
            DecisionLog log,
            LongSupplier generation) {
        this.decoder = decoder;
        this.state = state;
        this.connections = connections;
        this.eventLoop = eventLoop;
        this.time = time;
        this.log = log;
        this.registrations = new DependencyLog(log, "servers");
        this.generation = generation;
    }

    @Override
    public void changed(StoredObject object) {
        try {
            BackendServer read = decoder.readServer(object);
            eventLoop.execute(() -> state.serverChanged(read));
        } catch (StoreMalformedException malformed) {
            // Anybody may write a registration that makes no sense. It names no server to use; the others hold.
            log.notable("server-unreadable")
                    .with("object", object.key().toString())
                    .with("revision", object.version())
                    .with("reason", malformed.problem())
                    .write();
            remove(object);
        }
    }

    @Override
    public void deleted(StoredObject object) {
        remove(object);
    }

    @Override
    public void synchronised() {
        registrations.back();
        noteGeneration();
        synchronisedBefore = true;
        eventLoop.execute(() -> state.serversSynchronised(time.monotonicNanos()));
    }

    @Override
    public void interrupted(StoreException cause) {
        registrations.lost(cause.problem());
        eventLoop.execute(() -> state.serversInterrupted(time.monotonicNanos()));
    }

    /** A server may be missing because the store has lost its last seconds, and not because it has left. */
    private void noteGeneration() {
        long now = generation.getAsLong();
        boolean rose = synchronisedBefore && now > knownGeneration;
        knownGeneration = now;
        if (rose) {
            eventLoop.execute(() -> state.storeCameBackOlder(time.monotonicNanos()));
        }
    }

    private void remove(StoredObject object) {
        String id = object.key().name();
        noteGeneration();
        eventLoop.execute(() -> {
            if (state.serverMissing(id, time.monotonicNanos())) {
                connections.forget(id);
            }
        });
    }
}
