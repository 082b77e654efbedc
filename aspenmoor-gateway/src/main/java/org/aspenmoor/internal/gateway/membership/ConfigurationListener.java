package org.aspenmoor.internal.gateway.membership;

import java.util.concurrent.Executor;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;

/** Passes each configuration read from the store to the event loop. */
public final class ConfigurationListener implements CollectionListener {
    private final RegistrationDecoder decoder;
    private final ServingState state;
    private final Executor eventLoop;
    private final DecisionLog log;
    private final DependencyLog dependency;
    private final CollectionObserver observer;

    public ConfigurationListener(
            RegistrationDecoder decoder,
            ServingState state,
            Executor eventLoop,
            DecisionLog log,
            CollectionObserver observer) {
        this.observer = observer;
        this.decoder = decoder;
        this.state = state;
        this.eventLoop = eventLoop;
        this.log = log;
        this.dependency = new DependencyLog(log, "configuration");
    }

    @Override
    public void changed(StoredObject object) {
        try {
            ServingConfiguration configuration = decoder.readConfiguration(object);
            eventLoop.execute(() -> state.applyConfiguration(configuration));
            observer.changed(object.key().name(), configuration.version());
        } catch (StoreMalformedException malformed) {
            observer.changed(object.key().name(), StableHash.of(object.version()));
            // The current configuration stays in force: an unreadable one must not remove the routes.
            log.notable("configuration-unreadable")
                    .with("object", object.key().toString())
                    .with("revision", object.version())
                    .with("reason", malformed.problem())
                    .write();
        }
    }

    @Override
    public void deleted(StoredObject object) {
        observer.removed(object.key().name());
        log.notable("configuration-deleted")
                .with("object", object.key().toString())
                .with("outcome", "the current configuration stays in force")
                .write();
    }

    @Override
    public void synchronised() {
        dependency.restored();
    }

    @Override
    public void confirmed(long generation, long sentAt) {
        observer.confirmed(generation, sentAt);
    }

    @Override
    public void interrupted(StoreException cause) {
        dependency.lost(cause.problem());
    }
}
