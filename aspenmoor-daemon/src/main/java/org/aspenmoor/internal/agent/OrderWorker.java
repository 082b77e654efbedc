package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.authority.ExecutorStep;
import org.aspenmoor.internal.authority.OrderExecutor;
import org.aspenmoor.internal.authority.SlotIdentity;
import org.aspenmoor.internal.authority.SlotTimings;
import org.aspenmoor.internal.document.BackendDeclaration;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.document.StoredDocumentCodec;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.settings.BackendSettings;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * The thread that sends orders to the engine of this agent according to the role plan. No other thread sends orders.
 */
final class OrderWorker implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("orders");
    private static final Duration STEP_INTERVAL = Duration.ofMillis(250);
    private static final Duration PLAN_READ_INTERVAL = Duration.ofSeconds(5);

    private final AgentSettings settings;
    private final String incarnation;
    private final ObjectStore store;
    private final EngineControl control;
    private final EventLoopDrain drain;
    private final TimeSource time;
    private final RandomGenerator random;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread thread;
    private volatile String lastStep = "not started";
    private Optional<Long> planReadAt = Optional.empty();

    OrderWorker(
            AgentSettings settings,
            String incarnation,
            ObjectStore store,
            EngineControl control,
            EventLoopDrain drain,
            TimeSource time,
            RandomGenerator random) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.store = store;
        this.control = control;
        this.drain = drain;
        this.time = time;
        this.random = random;
        this.thread = Thread.ofPlatform().name("aspenmoor-orders").daemon(true).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    void dump(ObjectNode node) {
        node.put("lastStep", lastStep);
    }

    @Override
    public void close() {
        closed.countDown();
    }

    // A newly started agent does not know whether an order of its predecessor is still in flight, so it refuses work
    // until it has read the engine record.
    private void run() {
        drain.beginDrain();
        try {
            Optional<OrderExecutor> executor = Optional.empty();
            while (!closed.await(STEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
                if (executor.isEmpty()) {
                    executor = tryCreateExecutor();
                }
                executor.ifPresent(this::advance);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<OrderExecutor> tryCreateExecutor() {
        try {
            SlotIdentity slot = slotIdentity(engineChecksFencingNumbers());
            return Optional.of(new OrderExecutor(slot, store, control, drain, SlotTimings.DEFAULT, time, random));
        } catch (StoreException unavailable) {
            recordStep("waiting for the store: " + unavailable.problem());
            return Optional.empty();
        }
    }

    private void advance(OrderExecutor executor) {
        if (drain.checkForPause()) {
            executor.onPauseDetected();
        }
        readPlanIfDue(executor);
        ExecutorStep step = executor.step();
        recordStep(describe(step));
        if (executor.mayServe()) {
            drain.endDrain();
        } else if (step instanceof ExecutorStep.Replaced) {
            drain.beginDrain();
        }
    }

    private void readPlanIfDue(OrderExecutor executor) {
        long now = time.monotonicNanos();
        boolean due = planReadAt
                .map(readAt -> now - readAt >= PLAN_READ_INTERVAL.toNanos())
                .orElse(true);
        if (!due) {
            return;
        }
        planReadAt = Optional.of(now);
        try {
            Optional<StoredObject> plan = store.read(planKey());
            if (plan.isPresent()) {
                executor.offer(plan.get());
            }
        } catch (StoreException unavailable) {
            LOG.debugf("orders: could not read the role plan, keeping the current one: %s", unavailable.problem());
        }
    }

    // If the document is unknown, the engine is assumed to ignore fencing numbers, which only makes the wait longer.
    private boolean engineChecksFencingNumbers() throws StoreException {
        BackendSettings backend = settings.backend();
        Optional<StoredObject> document =
                store.read(StoredDocumentCodec.documentKey(new ServiceName(backend.team(), backend.service())));
        if (document.isEmpty()) {
            return false;
        }
        return StoredDocumentCodec.read(document.get())
                .document()
                .backend(backend.name())
                .filter(declared -> declared instanceof BackendDeclaration.EngineDeclaration engine
                        && engine.checksFencingNumbers())
                .isPresent();
    }

    private SlotIdentity slotIdentity(boolean checksFencingNumbers) {
        BackendSettings backend = settings.backend();
        ObjectKey record = new ObjectKey(ObjectKind.ENGINE_RECORD, backend.team(), backend.name());
        return new SlotIdentity(backend.name(), incarnation, record, planKey(), checksFencingNumbers);
    }

    private ObjectKey planKey() {
        BackendSettings backend = settings.backend();
        return new ObjectKey(
                ObjectKind.ROLE_PLAN,
                backend.team(),
                backend.service() + "." + settings.process().dataCentre());
    }

    private void recordStep(String step) {
        if (!step.equals(lastStep)) {
            lastStep = step;
            LOG.infof("orders: %s", step);
        }
    }

    private static String describe(ExecutorStep step) {
        return switch (step) {
            case ExecutorStep.Idle ignored -> "nothing to do";
            case ExecutorStep.TookOver takenOver -> "took over the engine, slot term " + takenOver.slotTerm();
            case ExecutorStep.Replaced ignored -> "replaced by another agent, sends no more orders";
            case ExecutorStep.Draining draining -> "draining for an order";
            case ExecutorStep.Waiting waiting -> "waiting for " + waiting.reason();
            case ExecutorStep.Ordered ordered ->
                "sent order " + ordered.order().order() + " with id "
                        + ordered.order().orderId() + " and fencing number "
                        + ordered.order().fencingNumber();
            case ExecutorStep.Running running -> "order " + running.orderId() + " is running";
            case ExecutorStep.InTransit settling -> "determining the outcome of order " + settling.orderId();
            case ExecutorStep.Resolved settled -> "order " + settled.orderId() + " ended as " + settled.state();
            case ExecutorStep.PlanOutdated behind -> "waiting for a plan newer than the engine record";
            case ExecutorStep.StoreFailed storeFailure ->
                "waiting for the store: " + storeFailure.cause().problem();
            case ExecutorStep.EngineUnreachable unresponsive ->
                "waiting for the engine: " + unresponsive.cause().problem();
        };
    }
}
