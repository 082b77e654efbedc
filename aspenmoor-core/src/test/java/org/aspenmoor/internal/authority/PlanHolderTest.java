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
    private ScriptedStoreFaults faultsOfFirst;
    private PlanHolder first;
    private PlanHolder second;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        store = new FakeStore();
        faultsOfFirst = new ScriptedStoreFaults();
        first = holder("entry-1", faultsOfFirst, 1);
        second = holder("entry-2", new ScriptedStoreFaults(), 2);
    }

    @Test
    public void should_acquire_lease_and_publish_when_no_lease_exists() throws StoreException {
        assertEquals(first.maintainLease(), new LeaseStep.Acquired(1));

        first.publish(FIRST_PLAN);

        assertEquals(stored().version(), new PlanVersion(1, 1));
        assertEquals(stored().engines(), FIRST_PLAN);
    }

    @Test
    public void should_not_acquire_lease_when_holder_renews_it() throws StoreException {
        first.maintainLease();
        for (int second = 0; second < 60; second++) {
            time.advance(Duration.ofSeconds(1));
            first.maintainLease();
            assertTrue(this.second.maintainLease() instanceof LeaseStep.Observing);
        }
        assertTrue(first.mayDecide());
        assertEquals(stored().version(), new PlanVersion(1, 0));
    }

    // The holder is killed. Its plan stays in force, and after a complete lease without a change another entry takes
    // over under the next term, without any operator action.
    @Test
    public void should_take_over_with_next_term_when_lease_passed_without_change() throws StoreException {
        first.maintainLease();
        first.publish(FIRST_PLAN);
        second.maintainLease();
        time.advance(LeaseTimings.DEFAULT.duration().minusMillis(1));
        assertTrue(second.maintainLease() instanceof LeaseStep.Observing);
        time.advance(Duration.ofMillis(1));

        assertEquals(second.maintainLease(), new LeaseStep.Acquired(2));

        assertEquals(stored().version(), new PlanVersion(2, 1));
        assertEquals(stored().engines(), FIRST_PLAN);
    }

    // The host of the holder is paused beyond its lease. When it resumes it must not publish its pending plan, which
    // would revert the role changes of its successor.
    @Test
    public void should_not_publish_when_paused_beyond_lease() throws StoreException {
        first.maintainLease();
        long writes = store.writes();
        time.advance(LeaseTimings.DEFAULT.usableDuration());

        assertEquals(first.publish(FIRST_PLAN), new PublishResult.NotHolder());
        assertFalse(first.mayDecide());
        assertEquals(store.writes(), writes);
    }

    // The pause falls between the check of the lease and the write, and a successor takes over meanwhile. If the write
    // were accepted afterwards, it would silently replace the plan of the successor.
    @Test
    public void should_reject_plan_when_successor_took_over_during_its_transit() throws StoreException {
        first.maintainLease();
        second.maintainLease();
        faultsOfFirst.beforeNextEffect(() -> {
            time.advance(LeaseTimings.DEFAULT.duration());
            maintainLeaseUnchecked(second);
            publishUnchecked(second, SECOND_PLAN);
        });

        assertEquals(first.publish(FIRST_PLAN), new PublishResult.Superseded());

        assertEquals(stored().version(), new PlanVersion(2, 1));
        assertEquals(stored().engines(), SECOND_PLAN);
    }

    // The same pause, but no successor has taken over when the write arrives. The plan is valid under the term of the
    // holder, and a successor has to wait a complete lease again because the version changed.
    @Test
    public void should_accept_plan_when_it_arrives_after_expiry_and_before_takeover() throws StoreException {
        first.maintainLease();
        second.maintainLease();
        faultsOfFirst.beforeNextEffect(
                () -> time.advance(LeaseTimings.DEFAULT.duration().minusMillis(1)));

        first.publish(FIRST_PLAN);
        time.advance(Duration.ofMillis(1));

        assertTrue(second.maintainLease() instanceof LeaseStep.Observing);
        assertEquals(stored().version(), new PlanVersion(1, 1));
        assertFalse(first.mayDecide());
    }

    // The holder is paused after its plan took effect and before it receives the response, and a successor takes over
    // meanwhile. The former holder must not continue to decide.
    @Test
    public void should_stop_deciding_when_paused_after_write() throws StoreException {
        first.maintainLease();
        faultsOfFirst.afterNextEffect(() -> {
            maintainLeaseUnchecked(second);
            time.advance(LeaseTimings.DEFAULT.duration());
            maintainLeaseUnchecked(second);
        });

        first.publish(FIRST_PLAN);

        assertFalse(first.mayDecide());
        assertEquals(first.maintainLease(), new LeaseStep.Lost(1));
        assertEquals(stored().version(), new PlanVersion(2, 1));
    }

    // A plan is written and the response is lost. If this were treated as a failure, the holder would get a conflict
    // caused by its own plan and give up a lease that it holds; the service would have no planner for one lease.
    @Test
    public void should_read_object_when_response_to_publish_is_lost() throws StoreException {
        first.maintainLease();
        faultsOfFirst.addWriteFault(StoreFault.ANSWER_LOST);

        assertTrue(first.publish(FIRST_PLAN) instanceof PublishResult.Published);
        assertTrue(first.mayDecide());
        assertTrue(first.publish(SECOND_PLAN) instanceof PublishResult.Published);
        assertEquals(stored().version(), new PlanVersion(1, 2));
    }

    // The response to a takeover is lost, and the read that would resolve it fails. The entry owns the lease without
    // knowing since when, so it may decide only after a renewal.
    @Test
    public void should_renew_before_deciding_when_own_record_is_found() throws StoreException {
        faultsOfFirst.addWriteFault(StoreFault.ANSWER_LOST);
        faultsOfFirst.addReadFault(StoreFault.NONE);
        faultsOfFirst.addReadFault(StoreFault.UNAVAILABLE);
        expectThrows(StoreUnavailableException.class, first::maintainLease);
        assertFalse(first.mayDecide());

        assertEquals(first.maintainLease(), new LeaseStep.Renewed(1));
        assertTrue(first.mayDecide());
    }

    // The write of a plan is delayed in the network and its sender gives up on it. It arrives after the sender has
    // published another plan, which it must not replace.
    @Test
    public void should_not_replace_later_plan_when_delayed_write_arrives() throws StoreException {
        first.maintainLease();
        faultsOfFirst.addWriteFault(StoreFault.LANDS_LATE);
        expectThrows(StoreOutcomeUnknownException.class, () -> first.publish(FIRST_PLAN));
        first.maintainLease();
        first.publish(SECOND_PLAN);

        assertTrue(store.deliverDelayed());

        assertEquals(stored().engines(), SECOND_PLAN);
    }

    // The store is unavailable for longer than the lease. No other entry can take over; the plan stays in force, the
    // holder publishes nothing, and it continues under the same term when the store is available again.
    @Test
    public void should_continue_under_same_term_when_store_is_available_again() throws StoreException {
        first.maintainLease();
        first.publish(FIRST_PLAN);
        time.advance(Duration.ofMinutes(30));
        faultsOfFirst.addWriteFault(StoreFault.UNAVAILABLE);
        expectThrows(StoreUnavailableException.class, first::maintainLease);
        assertFalse(first.mayDecide());

        assertEquals(first.maintainLease(), new LeaseStep.Renewed(1));
        assertTrue(first.mayDecide());
    }

    @Test
    public void should_take_over_immediately_when_holder_resigned() throws StoreException {
        first.maintainLease();
        first.resign();

        assertFalse(first.mayDecide());
        assertEquals(second.maintainLease(), new LeaseStep.Acquired(2));
    }

    // The object was edited by hand and is invalid. The error names the object and the field.
    @Test
    public void should_name_object_and_field_when_record_is_malformed() throws StoreException {
        store.client(new ScriptedStoreFaults()).create(KEY, "{\"owner\": \"entry-9\", \"engines\": {}, \"nonce\": 4}");

        StoreMalformedException malformed = expectThrows(StoreMalformedException.class, first::maintainLease);

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
