package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.aspenmoor.internal.authority.EngineAssignment;
import org.aspenmoor.internal.authority.LeaseTimings;
import org.aspenmoor.internal.authority.PlanHolder;
import org.aspenmoor.internal.claim.ClaimCommitter;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.store.StoreException;

/** One entry: may hold the lease to plan, claims calls, assembles streams, keeps a view of its members. */
final class EntryProcess extends SoakProcess {
    private static final ClaimSettings CLAIMS = new ClaimSettings(
            2, Duration.ofMinutes(15), Duration.ofMillis(100), Duration.ofSeconds(2), 900_000, 2048, 10_000);
    private static final double PUBLISHES = 0.04;
    private static final double TAKES_STREAM = 0.1;

    private final SoakWorld world;
    private final SoakHouse house;
    private final ProcessFaults faults;
    private final PlanHolder planner;
    private final EntryBookings bookings;
    private final EntryStreams streams;
    private final EntryMembers members;

    EntryProcess(SoakWorld world, SoakHouse house, String incarnation) {
        super(incarnation);
        this.world = world;
        this.house = house;
        this.faults = new ProcessFaults(world);
        var store = world.store().client(faults);
        this.planner = new PlanHolder(
                store, house.planKey(), incarnation, LeaseTimings.DEFAULT, world.time(), world.newRandom());
        ClaimCommitter committer = new ClaimCommitter(store, CLAIMS, world.time(), world.newRandom());
        this.bookings = new EntryBookings(world, this, committer);
        this.streams = new EntryStreams(world, this);
        this.members = new EntryMembers(world, this);
    }

    SoakHouse house() {
        return house;
    }

    ProcessFaults faults() {
        return faults;
    }

    EntryBookings bookings() {
        return bookings;
    }

    EntryMembers members() {
        return members;
    }

    boolean mayDecide() {
        return planner.mayDecide();
    }

    void received(StreamFrame frame) {
        streams.received(frame);
    }

    /** Returns the current agent of some engine. */
    Optional<AgentProcess> anyAgent() {
        List<SoakEngine> engines = house.engines();
        return Optional.of(engines.get(world.random().nextInt(engines.size())).current())
                .filter(agent -> !agent.dead());
    }

    @Override
    void work() {
        members.work();
        plan();
        bookings.commit();
        bookings.dispatch();
        bookings.giveUpLate();
        if (world.chance(TAKES_STREAM)) {
            streams.request();
        }
        streams.resumeSilent();
    }

    private void plan() {
        try {
            planner.maintainLease();
            if (planner.mayDecide() && world.chance(PUBLISHES)) {
                planner.publish(anyPlan());
            }
        } catch (StoreException trouble) {
            // The last plan stays in force; the next step tries again.
            return;
        }
    }

    private Map<String, EngineAssignment> anyPlan() {
        Map<String, EngineAssignment> plan = new TreeMap<>();
        EngineRole[] roles = EngineRole.values();
        for (SoakEngine engine : house.engines()) {
            EngineRole role = roles[world.random().nextInt(roles.length)];
            plan.put(engine.engine().name(), EngineAssignment.ofRole(role));
        }
        return plan;
    }
}
