package org.aspenmoor.internal.serving.roles;

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

/** Plays the right to give orders, by seeds, on a store that comes back from older copies. */
public class RewoundOrderRightTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
    private static final Duration ENGINES_PAUSE = Duration.ofSeconds(3);
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 20);
    private static final int STEPS = 5_000;
    private static final int COPIES = 40;

    // Guards against two holders that give an engine conflicting orders after the store has forgotten one of them.
    @Test
    public void should_keep_holders_apart_and_numbers_growing_on_a_store_that_comes_back_older() throws StoreException {
        int grants = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            grants += play(seed);
        }
        assertTrue(grants > SEEDS, "rights granted: " + grants);
    }

    private static int play(int seed) throws StoreException {
        Random random = new Random(seed);
        ManualTimeSource time = new ManualTimeSource();
        InMemoryObjectStore store = new InMemoryObjectStore();
        Deque<List<StoredObject>> copies = new ArrayDeque<>();
        List<OrderRight> rights = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            rights.add(new OrderRight(new LateLearningStore(store), KEY, "entry-" + number, time));
        }
        int grants = 0;
        long lastNumber = 0;
        long lastOrderAt = Long.MIN_VALUE / 2;
        OrderRight lastHolder = null;
        long[] numbers = new long[rights.size()];
        for (int step = 0; step < STEPS; step++) {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            copies.addFirst(store.snapshot());
            if (copies.size() > COPIES) {
                copies.removeLast();
            }
            if (random.nextInt(100) == 0) {
                store.restoreFrom(List.copyOf(copies).get(random.nextInt(copies.size())));
                copies.clear();
            }
            int index = random.nextInt(rights.size());
            if (random.nextInt(300) == 0) {
                rights.set(index, new OrderRight(new LateLearningStore(store), KEY, "restarted-" + step, time));
            }
            OrderRight right = rights.get(index);
            if (random.nextInt(3) == 0) {
                Optional<Long> number = right.acquire();
                grants += number.isPresent() ? 1 : 0;
                numbers[index] = number.orElse(0L);
            }
            if (right.holds()) {
                long now = time.monotonicNanos();
                boolean apart = right == lastHolder || now - lastOrderAt >= ENGINES_PAUSE.toNanos();
                assertTrue(apart, "seed " + seed + ": two holders at step " + step);
                assertTrue(numbers[index] >= lastNumber, "seed " + seed + ": a lower number at step " + step);
                lastHolder = right;
                lastOrderAt = now;
                lastNumber = numbers[index];
            }
        }
        return grants;
    }
}
