package org.aspenmoor.internal.gateway.peers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Registers this entry in the store and reads where the others are; a duty of its own thread.
 *
 * <p>Registrations say where an entry would be heard, not that it lives: that shows in its reports. So they need no
 * renewal, and one left behind by a host that is gone costs a datagram now and then. The store may lose one with its last
 * seconds; then the list shows that it is missing.
 */
public final class PeerDirectory {
    /** Entries that start tell the others themselves, so the list only mends what datagrams missed. */
    private static final Duration LISTING_PAUSE = Duration.ofSeconds(10);

    /** After a failed call; entries that do not know each other place worse, which is no reason to press the store. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(2);

    private final ObjectStore store;
    private final ObjectKey key;
    private final InetSocketAddress address;
    private final Consumer<Map<String, InetSocketAddress>> listener;
    private final DependencyLog entries;

    public PeerDirectory(
            ObjectStore store,
            String entry,
            InetSocketAddress address,
            Consumer<Map<String, InetSocketAddress>> listener,
            DecisionLog log) {
        this.store = store;
        this.key = new ObjectKey(ObjectKind.ENTRY_REGISTRATION, ObjectKey.PLATFORM_NAMESPACE, entry);
        this.address = address;
        this.listener = listener;
        this.entries = new DependencyLog(log, "entries");
    }

    /** Starts the duty. */
    public void start() {
        Thread.ofPlatform().daemon().name("peer-directory").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(step().toNanos());
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Does what is due and returns the pause after it. */
    Duration step() {
        try {
            Map<String, InetSocketAddress> addresses = addresses();
            if (!address.equals(addresses.get(key.name()))) {
                register();
                addresses.put(key.name(), address);
            }
            entries.restored();
            listener.accept(addresses);
            return LISTING_PAUSE;
        } catch (StoreException failure) {
            entries.lost(failure.problem());
            return FAILURE_PAUSE;
        }
    }

    private Map<String, InetSocketAddress> addresses() throws StoreException {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (StoredObject object : store.list(ObjectKind.ENTRY_REGISTRATION).objects()) {
            PeerAddress.read(object)
                    .ifPresent(peer -> addresses.put(object.key().name(), peer));
        }
        return addresses;
    }

    // A write whose answer was lost may still be carried out; reading first on the next step settles it.
    private void register() throws StoreException {
        String value = PeerAddress.write(address);
        Optional<StoredObject> before = store.read(key);
        if (before.isEmpty()) {
            store.create(key, value);
            return;
        }
        boolean same = PeerAddress.read(before.get()).filter(address::equals).isPresent();
        if (!same) {
            store.update(before.get(), value);
        }
    }
}
