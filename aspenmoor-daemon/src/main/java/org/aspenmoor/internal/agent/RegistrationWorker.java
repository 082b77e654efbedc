package org.aspenmoor.internal.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/** Writes the registration of the agent to the store, retrying until the store accepts it. */
final class RegistrationWorker implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("agent");
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    private final ObjectStore store;
    private final AgentRegistration registration;
    private final ObjectKey key;
    private final RandomGenerator random;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread thread;

    RegistrationWorker(ObjectStore store, AgentRegistration registration, RandomGenerator random) {
        this.store = store;
        this.registration = registration;
        this.random = random;
        this.key = new ObjectKey(ObjectKind.AGENT_REGISTRATION, registration.team(), registration.backend());
        this.thread =
                Thread.ofPlatform().name("aspenmoor-registration").daemon(true).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Deletes the registration, so that entries see at once that the agent is leaving. Best effort. */
    void deregister() {
        try {
            Optional<StoredObject> stored = store.read(key);
            if (stored.isPresent() && isOwn(stored.get())) {
                store.delete(stored.get());
            }
        } catch (StoreException unavailable) {
            LOG.warnf("agent: could not delete the registration: %s", unavailable.problem());
        }
    }

    @Override
    public void close() {
        closed.countDown();
    }

    private void run() {
        boolean done = false;
        while (!done) {
            done = tryRegister() || waitBeforeRetry();
        }
    }

    // If the answer of an earlier write was lost, no special handling is needed: the next round reads first and finds
    // its own object.
    private boolean tryRegister() {
        try {
            Optional<StoredObject> stored = store.read(key);
            if (stored.isPresent() && isOwn(stored.get())) {
                return true;
            }
            if (stored.isPresent()) {
                store.update(stored.get(), registration.write());
            } else {
                store.create(key, registration.write());
            }
            LOG.infof("agent: registered %s at port %d", registration.backend(), registration.port());
            return true;
        } catch (StoreException failure) {
            LOG.warnf("agent: could not write the registration, will retry: %s", failure.problem());
            return false;
        }
    }

    private boolean isOwn(StoredObject stored) {
        return AgentRegistration.read(stored)
                .map(AgentRegistration::incarnation)
                .filter(registration.incarnation()::equals)
                .isPresent();
    }

    private boolean waitBeforeRetry() {
        try {
            long milliseconds = 1 + random.nextLong(MAX_RETRY_DELAY.toMillis());
            return closed.await(milliseconds, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return true;
        }
    }
}
