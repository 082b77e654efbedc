package org.aspenmoor.internal.authority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.fake.FakeStore;
import org.aspenmoor.internal.fake.ScriptedStoreFaults;
import org.aspenmoor.internal.fake.StoreFault;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlanHolderTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ROLE_PLAN, "seitkali", "drafting.almaty-1");
    private static final Map<String, EngineAssignment> FIRST_PLAN =
            Map.of("engine-1", EngineAssignment.ofRole(EngineRole.PREFILL));
    private static final Map<String, EngineAssignment> SECOND_PLAN =
            Map.of("engine-1", EngineAssignment.ofRole(EngineRole.DECODE));

    private ManualTimeSource time;
    private FakeStore store;
    private ScriptedStoreFaults firstHolderFaults;
    private PlanHolder firstHolder;
    private PlanHolder secondHolder;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        store = new FakeStore();
        firstHolderFaults = new ScriptedStoreFaults();
        firstHolder = holder("entry-1", firstHolderFaults, 1);
        secondHolder = holder("entry-2", new ScriptedStoreFaults(), 2);
    }

    @Test
    public void should_acquire_lease_and_publish_when_no_lease_exists() throws StoreException {
        assertEquals(firstHolder.maintainLease(), new LeaseStep.Acquired(1));

        firstHolder.publish(FIRST_PLAN);

        assertEquals(stored().version(), new PlanVersion(1, 1));
        assertEquals(stored().engines(), FIRST_PLAN);
    }

    @Test
    public void should_not_acquire_lease_when_holder_renews_it() throws StoreException {
        firstHolder.maintainLease();
        for (int second = 0; second < 60; second++) {
            time.advance(Duration.ofSeconds(1));
            firstHolder.maintainLease();
            assertTrue(this.secondHolder.maintainLease() instanceof LeaseStep.Observing);
        }
        assertTrue(firstHolder.mayDecide());
        assertEquals(stored().version(), new PlanVersion(1, 0));
    }

    // The holder is killed. Its plan stays in force, and after a complete lease without a change another entry takes
    // over under the next term, without any operator action.
    @Test
    public void should_take_over_with_next_term_when_lease_passed_without_change() throws StoreException {
        firstHolder.maintainLease();
        firstHolder.publish(FIRST_PLAN);
        secondHolder.maintainLease();
        time.advance(LeaseTimings.DEFAULT.duration().minusMillis(1));
        assertTrue(secondHolder.maintainLease() instanceof LeaseStep.Observing);
        time.advance(Duration.ofMillis(1));

        assertEquals(secondHolder.maintainLease(), new LeaseStep.Acquired(2));

        assertEquals(stored().version(), new PlanVersion(2, 1));
        assertEquals(stored().engines(), FIRST_PLAN);
    }

    // The host of the holder is paused beyond its lease. When it resumes it must not publish its pending plan, which
    // would revert the role changes of its successor.
    @Test
    public void should_not_publish_when_paused_beyond_lease() throws StoreException {
        firstHolder.maintainLease();
        long writes = store.writes();
        time.advance(LeaseTimings.DEFAULT.usableDuration());

        assertEquals(firstHolder.publish(FIRST_PLAN), new PublishResult.NotHolder());
        assertFalse(firstHolder.mayDecide());
        assertEquals(store.writes(), writes);
    }

    // The pause falls between the check of the lease and the write, and a successor takes over meanwhile. If the write
    // were accepted afterwards, it would silently replace the plan of the successor.
    @Test
    public void should_reject_plan_when_successor_took_over_during_its_transit() throws StoreException {
        firstHolder.maintainLease();
        secondHolder.maintainLease();
        firstHolderFaults.beforeNextEffect(() -> {
            time.advance(LeaseTimings.DEFAULT.duration());
            maintainLeaseUnchecked(secondHolder);
            publishUnchecked(secondHolder, SECOND_PLAN);
        });

        assertEquals(firstHolder.publish(FIRST_PLAN), new PublishResult.Superseded());

        assertEquals(stored().version(), new PlanVersion(2, 1));
        assertEquals(stored().engines(), SECOND_PLAN);
    }

    // The same pause, but no successor has taken over when the write arrives. The plan is valid under the term of the
    // holder, and a successor has to wait a complete lease again because the version changed.
    @Test
    public void should_accept_plan_when_it_arrives_after_expiry_and_before_takeover() throws StoreException {
        firstHolder.maintainLease();
        secondHolder.maintainLease();
        firstHolderFaults.beforeNextEffect(
                () -> time.advance(LeaseTimings.DEFAULT.duration().minusMillis(1)));

        firstHolder.publish(FIRST_PLAN);
        time.advance(Duration.ofMillis(1));

        assertTrue(secondHolder.maintainLease() instanceof LeaseStep.Observing);
        assertEquals(stored().version(), new PlanVersion(1, 1));
        assertFalse(firstHolder.mayDecide());
    }

    // The holder is paused after its plan took effect and before it receives the response, and a successor takes over
    // meanwhile. The former holder must not continue to decide.
    @Test
    public void should_stop_deciding_when_paused_after_write() throws StoreException {
        firstHolder.maintainLease();
        firstHolderFaults.afterNextEffect(() -> {
            maintainLeaseUnchecked(secondHolder);
            time.advance(LeaseTimings.DEFAULT.duration());
            maintainLeaseUnchecked(secondHolder);
        });

        firstHolder.publish(FIRST_PLAN);

        assertFalse(firstHolder.mayDecide());
        assertEquals(firstHolder.maintainLease(), new LeaseStep.Lost(1));
        assertEquals(stored().version(), new PlanVersion(2, 1));
    }

    // A plan is written and the response is lost. If this were treated as a failure, the holder would get a conflict
    // caused by its own plan and give up a lease that it holds; the service would have no planner for one lease.
    @Test
    public void should_read_object_when_response_to_publish_is_lost() throws StoreException {
        firstHolder.maintainLease();
        firstHolderFaults.addWriteFault(StoreFault.ANSWER_LOST);

        assertTrue(firstHolder.publish(FIRST_PLAN) instanceof PublishResult.Published);
        assertTrue(firstHolder.mayDecide());
        assertTrue(firstHolder.publish(SECOND_PLAN) instanceof PublishResult.Published);
        assertEquals(stored().version(), new PlanVersion(1, 2));
    }

    // The response to a takeover is lost, and the read that would resolve it fails. The entry owns the lease without
    // knowing since when, so it may decide only after a renewal.
    @Test
    public void should_renew_before_deciding_when_own_record_is_found() throws StoreException {
        firstHolderFaults.addWriteFault(StoreFault.ANSWER_LOST);
        firstHolderFaults.addReadFault(StoreFault.NONE);
        firstHolderFaults.addReadFault(StoreFault.UNAVAILABLE);
        expectThrows(StoreUnavailableException.class, firstHolder::maintainLease);
        assertFalse(firstHolder.mayDecide());

        assertEquals(firstHolder.maintainLease(), new LeaseStep.Renewed(1));
        assertTrue(firstHolder.mayDecide());
    }

    // The write of a plan is delayed in the network and its sender gives up on it. It arrives after the sender has
    // published another plan, which it must not replace.
    @Test
    public void should_not_replace_later_plan_when_delayed_write_arrives() throws StoreException {
        firstHolder.maintainLease();
        firstHolderFaults.addWriteFault(StoreFault.LANDS_LATE);
        expectThrows(StoreOutcomeUnknownException.class, () -> firstHolder.publish(FIRST_PLAN));
        firstHolder.maintainLease();
        firstHolder.publish(SECOND_PLAN);

        assertTrue(store.deliverDelayed());

        assertEquals(stored().engines(), SECOND_PLAN);
    }

    // The store is unavailable for longer than the lease. No other entry can take over; the plan stays in force, the
    // holder publishes nothing, and it continues under the same term when the store is available again.
    @Test
    public void should_continue_under_same_term_when_store_is_available_again() throws StoreException {
        firstHolder.maintainLease();
        firstHolder.publish(FIRST_PLAN);
        time.advance(Duration.ofMinutes(30));
        firstHolderFaults.addWriteFault(StoreFault.UNAVAILABLE);
        expectThrows(StoreUnavailableException.class, firstHolder::maintainLease);
        assertFalse(firstHolder.mayDecide());

        assertEquals(firstHolder.maintainLease(), new LeaseStep.Renewed(1));
        assertTrue(firstHolder.mayDecide());
    }

    @Test
    public void should_take_over_immediately_when_holder_resigned() throws StoreException {
        firstHolder.maintainLease();
        firstHolder.resign();

        assertFalse(firstHolder.mayDecide());
        assertEquals(secondHolder.maintainLease(), new LeaseStep.Acquired(2));
    }

    // The object was edited by hand and is invalid. The error names the object and the field.
    @Test
    public void should_name_object_and_field_when_record_is_malformed() throws StoreException {
        store.client(new ScriptedStoreFaults()).create(KEY, "{\"owner\": \"entry-9\", \"engines\": {}, \"nonce\": 4}");

        StoreMalformedException malformed = expectThrows(StoreMalformedException.class, firstHolder::maintainLease);

        assertEquals(malformed.place(), "roleplans/seitkali/drafting.almaty-1#nonce");
    }

    private PlanHolder holder(String owner, ScriptedStoreFaults faults, long seed) {
        return new PlanHolder(store.client(faults), KEY, owner, LeaseTimings.DEFAULT, time, new Random(seed));
    }

    private PlanRecord stored() throws StoreException {
        StoredObject object = store.peek(KEY).orElseThrow();
        return PlanCodec.read(object);
    }

    private static void maintainLeaseUnchecked(PlanHolder holder) {
        try {
            holder.maintainLease();
        } catch (StoreException unexpected) {
            throw new AssertionError(unexpected);
        }
    }

    private static void publishUnchecked(PlanHolder holder, Map<String, EngineAssignment> plan) {
        try {
            holder.publish(plan);
        } catch (StoreException unexpected) {
            throw new AssertionError(unexpected);
        }
    }
}
