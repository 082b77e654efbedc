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
 * Registers this entry in the store and reads the addresses of the other entries. Runs on its own thread.
 *
 * <p>A registration states the address at which an entry receives reports, not that the entry is running; its own
 * reports show that. Registrations therefore need no renewal, and one left behind by a removed host costs an
 * occasional datagram. The store may lose a registration together with its latest writes; the next listing shows
 * that it is missing.
 */
public final class PeerDirectory {
    /**
     * Interval between listings. Entries that start notify the others themselves, so the listing only covers lost
     * datagrams.
     */
    private static final Duration LISTING_INTERVAL = Duration.ofSeconds(10);

    /**
     * Delay after a failed call. Entries that do not know each other schedule less well, which does not justify
     * more load on the store.
     */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

    private final ObjectStore store;
    private final ObjectKey key;
    private final InetSocketAddress address;
    private final Consumer<Map<String, InetSocketAddress>> listener;
    private final DependencyLog dependency;

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
        this.dependency = new DependencyLog(log, "entries");
    }

    /** Starts the worker thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("peer-directory").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(refresh().toNanos());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lists the entries, registers this one if it is missing, and returns the delay before the next step. */
    Duration refresh() {
        try {
            Map<String, InetSocketAddress> addresses = addresses();
            if (!address.equals(addresses.get(key.name()))) {
                register();
                addresses.put(key.name(), address);
            }
            dependency.restored();
            listener.accept(addresses);
            return LISTING_INTERVAL;
        } catch (StoreException failure) {
            dependency.lost(failure.problem());
            return RETRY_DELAY;
        }
    }

    private Map<String, InetSocketAddress> addresses() throws StoreException {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (StoredObject object : store.list(ObjectKind.ENTRY_REGISTRATION).objects()) {
            PeerAddressCodec.parse(object)
                    .ifPresent(address -> addresses.put(object.key().name(), address));
        }
        return addresses;
    }

    // A write whose response was lost may still be applied; reading first in the next step resolves this.
    private void register() throws StoreException {
        String value = PeerAddressCodec.serialise(address);
        Optional<StoredObject> registered = store.read(key);
        if (registered.isEmpty()) {
            store.create(key, value);
            return;
        }
        boolean upToDate =
                PeerAddressCodec.parse(registered.get()).filter(address::equals).isPresent();
        if (!upToDate) {
            store.update(registered.get(), value);
        }
    }
}
