package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.authority.OrderExecutor;
import org.aspenmoor.internal.authority.PauseDetector;
import org.aspenmoor.internal.authority.PlanRecord;
import org.aspenmoor.internal.authority.PlanVersion;
import org.aspenmoor.internal.authority.SlotIdentity;
import org.aspenmoor.internal.authority.SlotTimings;
import org.aspenmoor.internal.authority.StreamDrain;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;

/** The agent beside one engine: gives the orders and carries out streams. */
final class AgentProcess extends SoakProcess {
    private static final double READS_PLAN = 0.3;
    private static final Duration FRAME_LATENCY = Duration.ofMillis(2);

    private final SoakWorld world;
    private final SoakEngine site;
    private final ProcessFaults faults;
    private final ObjectStore store;
    private final OrderExecutor executor;
    private final List<StreamAttempt> streams = new ArrayList<>();
    private final PauseDetector pauses;
    private PlanVersion lastObeyed = PlanVersion.NONE;

    AgentProcess(SoakWorld world, SoakEngine site, String incarnation) {
        super(incarnation);
        this.world = world;
        this.site = site;
        this.faults = new ProcessFaults(world);
        this.store = world.store().client(faults);
        SlotIdentity slot = new SlotIdentity(
                site.engine().name(),
                incarnation,
                OrderWatch.recordKey(site.engine().name()),
                site.house().planKey(),
                site.engine().checksFencingNumbers());
        this.pauses = new PauseDetector(world.time(), SlotTimings.DEFAULT.pauseThreshold());
        this.executor = new OrderExecutor(
                slot,
                store,
                site.engine().control(faults),
                new Drain(),
                SlotTimings.DEFAULT,
                world.time(),
                world.newRandom());
    }

    ProcessFaults faults() {
        return faults;
    }

    int runningStreams() {
        return streams.size();
    }

    void loseStreams() {
        streams.clear();
    }

    @Override
    void kill() {
        super.kill();
        streams.clear();
    }

    /** Takes a dispatch from an entry. */
    void dispatched(StreamRequest request, int attempt, int deliveredTokens, EntryProcess entry) {
        if (!executor.mayServe() || site.engine().isBusy()) {
            send(entry, new StreamFrame.Refusal(request.id(), attempt));
            return;
        }
        world.streams().started(request);
        streams.add(new StreamAttempt(request, attempt, deliveredTokens, entry));
        site.countStreams();
    }

    @Override
    void wake() {
        if (pauses.pausedSinceLastTick()) {
            executor.onPauseDetected();
        }
    }

    @Override
    void work() {
        emit();
        if (world.chance(READS_PLAN)) {
            readPlan();
        }
        executor.step();
    }

    private void emit() {
        for (StreamAttempt attempt : List.copyOf(streams)) {
            if (attempt.entry().dead()) {
                streams.remove(attempt);
                continue;
            }
            boolean finished = attempt.finished();
            send(attempt.entry(), attempt.next());
            if (finished) {
                streams.remove(attempt);
            }
        }
        site.countStreams();
    }

    private void send(EntryProcess entry, StreamFrame frame) {
        world.frames().send(entry, frame, FRAME_LATENCY);
    }

    private void readPlan() {
        try {
            var plan = store.read(site.house().planKey());
            if (plan.isPresent()) {
                executor.offer(plan.get());
                checkPlan();
            }
        } catch (StoreException trouble) {
            // The last plan stays in force.
            return;
        }
    }

    private void checkPlan() {
        PlanVersion obeyed = executor.plan().map(PlanRecord::version).orElse(PlanVersion.NONE);
        if (lastObeyed.isAfter(obeyed)) {
            world.violations().report(incarnation() + " went back from plan " + lastObeyed + " to " + obeyed);
        }
        lastObeyed = obeyed;
    }

    /** The streams of this agent. */
    private final class Drain implements StreamDrain {
        @Override
        public void beginDrain() {
            // The executor itself says that no new work may start.
        }

        @Override
        public void endDrain() {
            // The executor itself says that new work may start.
        }

        @Override
        public int running() {
            return streams.size();
        }
    }
}
