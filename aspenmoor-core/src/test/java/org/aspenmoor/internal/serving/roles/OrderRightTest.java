package org.aspenmoor.internal.serving.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.time.TimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OrderRightTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
    private static final Duration ENGINES_PAUSE = Duration.ofSeconds(3);

    private InMemoryObjectStore store;
    private ManualTimeSource time;

    @BeforeMethod
    public void start() {
        store = new InMemoryObjectStore();
        time = new ManualTimeSource();
    }

    // Guards against two that give orders at once, since the store has lost the record of one of them.
    @Test
    public void should_grant_the_right_where_no_record_has_been_for_as_long_as_one_must_stand() throws StoreException {
        OrderRight right = right("one");

        assertEquals(right.acquire(), Optional.empty());
        time.advance(OrderRight.SETTLED.minusMillis(1));
        assertEquals(right.acquire(), Optional.empty());
        time.advance(Duration.ofMillis(1));
        assertEquals(right.acquire(), Optional.of(1L));
        assertTrue(right.holds());
    }

    @Test
    public void should_grant_it_again_at_once_to_who_had_it_last() throws StoreException {
        OrderRight right = granted("one");

        assertEquals(right.acquire(), Optional.of(2L));
    }

    @Test
    public void should_run_out_after_its_window() throws StoreException {
        OrderRight right = granted("one");
        time.advance(OrderRight.WINDOW);

        assertFalse(right.holds());
    }

    // The entry that gave the last order is gone, and an engine for answers is lost. Whoever comes next and has not
    // looked at
    // the record before must wait six seconds, in which one engine answers everybody.
    @Test
    public void should_pass_on_at_once_to_one_that_has_seen_the_record_stand() throws StoreException {
        granted("one");
        OrderRight other = right("two");
        other.observe();
        time.advance(OrderRight.SETTLED);

        assertEquals(other.acquire(), Optional.of(2L));
    }

    @Test
    public void should_count_from_the_last_change_of_the_record() throws StoreException {
        OrderRight first = granted("one");
        OrderRight other = right("two");
        other.observe();
        time.advance(OrderRight.SETTLED);
        first.acquire();

        assertEquals(other.acquire(), Optional.empty());
    }

    @Test
    public void should_not_pass_on_before_the_record_has_settled() throws StoreException {
        granted("one");
        OrderRight other = right("two");

        assertEquals(other.acquire(), Optional.empty());
        time.advance(OrderRight.SETTLED.minusMillis(1));
        assertEquals(other.acquire(), Optional.empty());
        time.advance(Duration.ofMillis(1));
        assertEquals(other.acquire(), Optional.of(2L));
    }

    // The holder's host is suspended just before it gives an order, and its steady clock stands still meanwhile. When
    // it
    // wakes, another process may hold the right; only the time of day tells.
    @Test
    public void should_not_hold_after_a_suspension_that_the_steady_clock_did_not_count() throws StoreException {
        SuspendedTimeSource suspended = new SuspendedTimeSource();
        OrderRight right = new OrderRight(store, KEY, "one", suspended);
        right.observe();
        suspended.run = OrderRight.SETTLED;
        right.acquire();
        assertTrue(right.holds());
        suspended.slept = Duration.ofSeconds(30);

        assertFalse(right.holds());
    }

    // Several entries see the same deviation and all want to mend it. Whatever the schedule, orders of two of them are
    // never closer than the pause that engines need between two holders, and numbers only grow.
    @Test
    public void should_keep_holders_apart_under_any_schedule() throws StoreException {
        Random random = new Random(11);
        List<OrderRight> rights = new ArrayList<>(List.of(right("one"), right("two"), right("three")));
        long lastNumber = 0;
        long lastOrderAt = 0;
        OrderRight lastHolder = null;
        for (int step = 0; step < 200_000; step++) {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            int index = random.nextInt(rights.size());
            if (random.nextInt(500) == 0) {
                rights.set(index, right("restarted-" + step));
            }
            OrderRight right = rights.get(index);
            if (random.nextInt(4) == 0) {
                Optional<Long> number = right.acquire();
                assertTrue(number.isEmpty() || number.get() > lastNumber);
                lastNumber = number.orElse(lastNumber);
            }
            if (right.holds()) {
                long now = time.monotonicNanos();
                boolean apart = right == lastHolder || now - lastOrderAt >= ENGINES_PAUSE.toNanos();
                assertTrue(lastHolder == null || apart, "two holders at " + now);
                lastHolder = right;
                lastOrderAt = now;
            }
        }
        assertTrue(lastNumber > 100, "the right was passed on: " + lastNumber);
    }

    // Guards against a holder who goes on giving orders under a right that the store no longer knows of.
    @Test
    public void should_not_hold_once_the_store_has_come_back_older() throws StoreException {
        List<StoredObject> copy = store.snapshot();
        OrderRight right = granted("one");
        store.restoreFrom(copy);

        assertFalse(right.holds());
        assertEquals(right.acquire(), Optional.empty(), "the record is missing, and settles first");
    }

    // Guards against an engine that refuses the orders of a new holder, since it has seen higher numbers.
    @Test
    public void should_number_orders_above_those_that_the_store_has_forgotten() throws StoreException {
        List<StoredObject> copy = store.snapshot();
        long before = 0;
        OrderRight right = granted("one");
        for (int order = 0; order < 100; order++) {
            before = right.acquire().orElseThrow();
        }
        store.restoreFrom(copy);
        OrderRight stranger = right("stranger");
        stranger.observe();
        time.advance(OrderRight.SETTLED);

        assertTrue(stranger.acquire().orElseThrow() > before);
    }

    private OrderRight granted(String holder) throws StoreException {
        OrderRight right = right(holder);
        right.observe();
        time.advance(OrderRight.SETTLED);
        assertTrue(right.acquire().isPresent());
        return right;
    }

    private OrderRight right(String holder) {
        return new OrderRight(store, KEY, holder, time);
    }

    private static final class SuspendedTimeSource implements TimeSource {
        private Duration run = Duration.ZERO;
        private Duration slept = Duration.ZERO;

        @Override
        public long monotonicNanos() {
            return run.toNanos();
        }

        @Override
        public Instant wallClockTime() {
            return Instant.EPOCH.plus(run).plus(slept);
        }
    }
}
