package org.aspenmoor.internal.gateway.membership;

import java.util.concurrent.Executor;
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

    public ConfigurationListener(RegistrationDecoder decoder, ServingState state, Executor eventLoop, DecisionLog log) {
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
        } catch (StoreMalformedException malformed) {
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
    public void interrupted(StoreException cause) {
        dependency.lost(cause.problem());
    }
}
