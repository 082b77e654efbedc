package org.aspenmoor.internal.duty;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Simulates the order lease, with several seeds, on a store that is restored from older copies. */
public class DutyLeaseStoreRestoreTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
    private static final Duration MIN_PAUSE_BETWEEN_HOLDERS = Duration.ofSeconds(3);
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 20);
    private static final int STEPS = 5_000;
    private static final int MAX_COPIES = 40;

    // Guards against two holders that give an engine conflicting orders after the store has lost the record of one
    // of them.
    @Test
    public void should_keep_holders_apart_and_fencing_numbers_increasing_when_the_store_is_restored_from_older_copies()
            throws StoreException {
        int grants = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            grants += simulate(seed);
        }
        assertTrue(grants > SEEDS, "leases granted: " + grants);
    }

    private static int simulate(int seed) throws StoreException {
        Random random = new Random(seed);
        ManualTimeSource time = new ManualTimeSource();
        InMemoryObjectStore store = new InMemoryObjectStore();
        Deque<List<StoredObject>> copies = new ArrayDeque<>();
        List<DutyLease> leases = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            leases.add(new DutyLease(
                    new DelayedGenerationStore(store), KEY, "entry-" + number, MIN_PAUSE_BETWEEN_HOLDERS, time));
        }
        int grants = 0;
        long lastFencingNumber = 0;
        long lastOrderAt = Long.MIN_VALUE / 2;
        DutyLease lastHolder = null;
        long[] fencingNumbers = new long[leases.size()];
        for (int step = 0; step < STEPS; step++) {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            copies.addFirst(store.snapshot());
            if (copies.size() > MAX_COPIES) {
                copies.removeLast();
            }
            if (random.nextInt(100) == 0) {
                store.restoreFrom(List.copyOf(copies).get(random.nextInt(copies.size())));
                copies.clear();
            }
            int index = random.nextInt(leases.size());
            if (random.nextInt(300) == 0) {
                leases.set(
                        index,
                        new DutyLease(
                                new DelayedGenerationStore(store),
                                KEY,
                                "restarted-" + step,
                                MIN_PAUSE_BETWEEN_HOLDERS,
                                time));
            }
            DutyLease lease = leases.get(index);
            if (random.nextInt(3) == 0) {
                Optional<Long> number = lease.acquire();
                grants += number.isPresent() ? 1 : 0;
                fencingNumbers[index] = number.orElse(0L);
            }
            if (lease.isHeld()) {
                long nowNanos = time.monotonicNanos();
                boolean apart = lease == lastHolder || nowNanos - lastOrderAt >= MIN_PAUSE_BETWEEN_HOLDERS.toNanos();
                assertTrue(apart, "seed " + seed + ": two holders at step " + step);
                assertTrue(
                        fencingNumbers[index] >= lastFencingNumber,
                        "seed " + seed + ": a lower fencing number at step " + step);
                lastHolder = lease;
                lastOrderAt = nowNanos;
                lastFencingNumber = fencingNumbers[index];
            }
        }
        return grants;
    }
}
