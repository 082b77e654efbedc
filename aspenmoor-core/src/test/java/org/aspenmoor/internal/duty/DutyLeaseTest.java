package org.aspenmoor.internal.duty;

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

public class DutyLeaseTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
    private static final Duration MIN_PAUSE_BETWEEN_HOLDERS = Duration.ofSeconds(3);
    private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(6);

    private InMemoryObjectStore store;
    private ManualTimeSource time;

    @BeforeMethod
    public void start() {
        store = new InMemoryObjectStore();
        time = new ManualTimeSource();
    }

    // Guards against two processes that give orders at the same time because the store has lost the record of one
    // of them.
    @Test
    public void should_grant_the_lease_when_the_record_has_been_missing_for_the_takeover_delay() throws StoreException {
        DutyLease lease = lease("one");

        assertEquals(lease.acquire(), Optional.empty());
        time.advance(TAKEOVER_DELAY.minusMillis(1));
        assertEquals(lease.acquire(), Optional.empty());
        time.advance(Duration.ofMillis(1));
        assertEquals(lease.acquire(), Optional.of(1L));
        assertTrue(lease.isHeld());
    }

    @Test
    public void should_grant_the_lease_at_once_when_the_last_holder_requests_it() throws StoreException {
        DutyLease lease = grantedLease("one");

        assertEquals(lease.acquire(), Optional.of(2L));
    }

    @Test
    public void should_expire_when_its_validity_has_passed() throws StoreException {
        DutyLease lease = grantedLease("one");
        time.advance(DutyLease.VALIDITY);

        assertFalse(lease.isHeld());
    }

    // The entry that gave the last order has terminated, and a decode engine is lost. A successor that has not
    // observed the record before must wait six seconds, during which one engine decodes all answers.
    @Test
    public void should_grant_the_lease_at_once_when_the_record_was_observed_unchanged() throws StoreException {
        grantedLease("one");
        DutyLease other = lease("two");
        other.observe();
        time.advance(TAKEOVER_DELAY);

        assertEquals(other.acquire(), Optional.of(2L));
    }

    @Test
    public void should_restart_the_takeover_delay_when_the_record_changes() throws StoreException {
        DutyLease first = grantedLease("one");
        DutyLease other = lease("two");
        other.observe();
        time.advance(TAKEOVER_DELAY);
        first.acquire();

        assertEquals(other.acquire(), Optional.empty());
    }

    @Test
    public void should_not_grant_the_lease_when_the_takeover_delay_has_not_passed() throws StoreException {
        grantedLease("one");
        DutyLease other = lease("two");

        assertEquals(other.acquire(), Optional.empty());
        time.advance(TAKEOVER_DELAY.minusMillis(1));
        assertEquals(other.acquire(), Optional.empty());
        time.advance(Duration.ofMillis(1));
        assertEquals(other.acquire(), Optional.of(2L));
    }

    // Guards against orders of two holders that are too close, because the record changed while it was first read.
    @Test
    public void should_count_the_takeover_delay_from_the_answer_when_a_read_takes_long() throws StoreException {
        Duration readDuration = Duration.ofMillis(900);
        DutyLease first = grantedLease("one");
        SlowReadStore slowStore = new SlowReadStore(store);
        DutyLease other = new DutyLease(slowStore, KEY, "two", MIN_PAUSE_BETWEEN_HOLDERS, time);
        slowStore.beforeNextRead(() -> {
            time.advance(readDuration);
            first.acquire();
        });
        assertEquals(other.acquire(), Optional.empty());
        time.advance(TAKEOVER_DELAY.minus(readDuration));

        assertEquals(other.acquire(), Optional.empty());
    }

    // The holder's host is suspended just before an order, and its monotonic clock stops meanwhile. After it
    // resumes, another process may hold the lease; only the wall clock shows this.
    @Test
    public void should_not_be_held_when_the_monotonic_clock_missed_a_suspension() throws StoreException {
        SuspendedTimeSource suspended = new SuspendedTimeSource();
        DutyLease lease = new DutyLease(store, KEY, "one", MIN_PAUSE_BETWEEN_HOLDERS, suspended);
        lease.observe();
        suspended.running = TAKEOVER_DELAY;
        lease.acquire();
        assertTrue(lease.isHeld());
        suspended.suspended = Duration.ofSeconds(30);

        assertFalse(lease.isHeld());
    }

    // Several entries see the same deviation and all try to correct it. Under any schedule, orders of two holders
    // are never closer than the pause that engines require between holders, and fencing numbers only increase.
    @Test
    public void should_keep_holders_apart_when_the_schedule_is_random() throws StoreException {
        Random random = new Random(11);
        List<DutyLease> leases = new ArrayList<>(List.of(lease("one"), lease("two"), lease("three")));
        long lastFencingNumber = 0;
        long lastOrderAt = 0;
        DutyLease lastHolder = null;
        for (int step = 0; step < 200_000; step++) {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            int index = random.nextInt(leases.size());
            if (random.nextInt(500) == 0) {
                leases.set(index, lease("restarted-" + step));
            }
            DutyLease lease = leases.get(index);
            if (random.nextInt(4) == 0) {
                Optional<Long> fencingNumber = lease.acquire();
                assertTrue(fencingNumber.isEmpty() || fencingNumber.get() > lastFencingNumber);
                lastFencingNumber = fencingNumber.orElse(lastFencingNumber);
            }
            if (lease.isHeld()) {
                long nowNanos = time.monotonicNanos();
                boolean apart = lease == lastHolder || nowNanos - lastOrderAt >= MIN_PAUSE_BETWEEN_HOLDERS.toNanos();
                assertTrue(lastHolder == null || apart, "two holders at " + nowNanos);
                lastHolder = lease;
                lastOrderAt = nowNanos;
            }
        }
        assertTrue(lastFencingNumber > 100, "last fencing number: " + lastFencingNumber);
    }

    // Guards against a holder that continues to give orders under a lease that the store has lost.
    @Test
    public void should_not_be_held_when_the_store_was_restored_from_an_older_copy() throws StoreException {
        List<StoredObject> copy = store.snapshot();
        DutyLease lease = grantedLease("one");
        store.restoreFrom(copy);

        assertFalse(lease.isHeld());
        assertEquals(lease.acquire(), Optional.empty(), "a missing record has to stay unchanged first");
    }

    // Guards against engines that refuse the orders of a new holder because they have seen higher fencing numbers.
    @Test
    public void should_issue_higher_fencing_numbers_when_the_store_has_lost_earlier_ones() throws StoreException {
        List<StoredObject> copy = store.snapshot();
        long lastFencingNumber = 0;
        DutyLease lease = grantedLease("one");
        for (int order = 0; order < 100; order++) {
            lastFencingNumber = lease.acquire().orElseThrow();
        }
        store.restoreFrom(copy);
        DutyLease successor = lease("stranger");
        successor.observe();
        time.advance(TAKEOVER_DELAY);

        assertTrue(successor.acquire().orElseThrow() > lastFencingNumber);
    }

    private DutyLease grantedLease(String holder) throws StoreException {
        DutyLease lease = lease(holder);
        lease.observe();
        time.advance(TAKEOVER_DELAY);
        assertTrue(lease.acquire().isPresent());
        return lease;
    }

    private DutyLease lease(String holder) {
        return new DutyLease(store, KEY, holder, MIN_PAUSE_BETWEEN_HOLDERS, time);
    }

    private static final class SuspendedTimeSource implements TimeSource {
        private Duration running = Duration.ZERO;
        private Duration suspended = Duration.ZERO;

        @Override
        public long monotonicNanos() {
            return running.toNanos();
        }

        @Override
        public Instant wallClockTime() {
            return Instant.EPOCH.plus(running).plus(suspended);
        }
    }
}
