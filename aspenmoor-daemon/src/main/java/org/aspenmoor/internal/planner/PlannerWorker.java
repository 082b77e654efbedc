package org.aspenmoor.internal.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.administration.DutyStatus;
import org.aspenmoor.internal.authority.EngineAssignment;
import org.aspenmoor.internal.authority.LeaseStep;
import org.aspenmoor.internal.authority.LeaseTimings;
import org.aspenmoor.internal.authority.PlanHolder;
import org.aspenmoor.internal.authority.PlanRecord;
import org.aspenmoor.internal.authority.PublishResult;
import org.aspenmoor.internal.document.BackendDeclaration;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.time.TimeSource;
import org.jboss.logging.Logger;

/**
 * The thread that acquires, holds and publishes role plans.
 *
 * <p>Any entry of a data centre may hold the plan of a service there. An entry checks a plan that it does not hold only
 * every few seconds, so that watching for an expired lease causes little load on the store.
 */
public final class PlannerWorker implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("planner");
    private static final Duration STEP_INTERVAL = Duration.ofSeconds(1);
    private static final Duration OBSERVATION_INTERVAL = Duration.ofSeconds(3);
    private static final String DUTY_NAME = "planner";

    private final String owner;
    private final String dataCentre;
    private final ObjectStore store;
    private final DocumentRegistry registry;
    private final Supplier<List<EngineSnapshot>> engines;
    private final PlanDrafter drafter;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<ServiceName, PlanHolder> holders = new HashMap<>();
    private final Map<ServiceName, Long> lastObservedAt = new HashMap<>();
    private final Map<ServiceName, DutyStatus> duties = new ConcurrentHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread thread;

    public PlannerWorker(
            String owner,
            String dataCentre,
            ObjectStore store,
            DocumentRegistry registry,
            Supplier<List<EngineSnapshot>> engines,
            PlanDrafter drafter,
            TimeSource time,
            RandomGenerator random) {
        this.owner = owner;
        this.dataCentre = dataCentre;
        this.store = store;
        this.registry = registry;
        this.engines = engines;
        this.drafter = drafter;
        this.time = time;
        this.random = random;
        this.thread = Thread.ofPlatform().name("aspenmoor-planner").daemon(true).unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Returns the holders of the plans, as last seen by this entry. */
    public List<DutyStatus> duties() {
        return new ArrayList<>(duties.values());
    }

    /** Stops the thread and releases its leases, so that a successor need not wait for them to expire. */
    @Override
    public void close() {
        closed.countDown();
        try {
            thread.join(Duration.ofSeconds(5));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!closed.await(STEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
                updatePlans();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        holders.values().forEach(PlannerWorker::resign);
    }

    private void updatePlans() {
        List<EngineSnapshot> snapshots = List.of();
        boolean queried = false;
        for (DocumentInForce inForce : registry.all()) {
            ServiceDocument document = inForce.document();
            if (!hasEnginesHere(document)) {
                continue;
            }
            if (!queried) {
                snapshots = engines.get();
                queried = true;
            }
            updatePlanOrLog(document, snapshots);
        }
    }

    // A store failure revokes nothing: the last plan stays in force, and this holder stops when its lease expires by
    // its own clock.
    private void updatePlanOrLog(ServiceDocument document, List<EngineSnapshot> snapshots) {
        try {
            updatePlan(document, snapshots);
        } catch (StoreException storeFailure) {
            LOG.debugf(
                    "planner: could not update the plan of %s/%s: %s",
                    document.team(), document.service(), storeFailure.problem());
        }
    }

    private void updatePlan(ServiceDocument document, List<EngineSnapshot> snapshots) throws StoreException {
        ServiceName name = ServiceName.of(document);
        PlanHolder holder = holders.computeIfAbsent(name, this::newHolder);
        if (holder.current().isEmpty() && !isObservationDue(name)) {
            return;
        }
        LeaseStep step = holder.maintainLease();
        recordStep(name, step);
        if (holder.mayDecide()) {
            publishIfChanged(document, holder, snapshots);
        }
    }

    private void publishIfChanged(ServiceDocument document, PlanHolder holder, List<EngineSnapshot> snapshots)
            throws StoreException {
        ServiceName name = ServiceName.of(document);
        List<EngineSnapshot> localEngines = snapshots.stream()
                .filter(engine ->
                        engine.service().equals(name) && engine.dataCentre().equals(dataCentre))
                .toList();
        Map<String, EngineAssignment> previous =
                holder.current().map(PlanRecord::engines).orElse(Map.of());
        Map<String, EngineAssignment> next = drafter.draft(document, localEngines, previous);
        if (next.equals(previous)) {
            return;
        }
        if (holder.publish(next) instanceof PublishResult.Published published) {
            LOG.infof(
                    "planner: published the plan of %s in %s, term %d revision %d",
                    name,
                    dataCentre,
                    published.plan().version().term(),
                    published.plan().version().revision());
        }
    }

    private boolean isObservationDue(ServiceName name) {
        long now = time.monotonicNanos();
        Long last = lastObservedAt.get(name);
        if (last != null && now - last < OBSERVATION_INTERVAL.toNanos()) {
            return false;
        }
        lastObservedAt.put(name, now);
        return true;
    }

    private void recordStep(ServiceName name, LeaseStep step) {
        switch (step) {
            case LeaseStep.Held held -> recordHolder(name, owner, held.term(), "held here");
            case LeaseStep.Renewed renewed -> recordHolder(name, owner, renewed.term(), "held here");
            case LeaseStep.Acquired acquired -> {
                LOG.infof("planner: acquired the plan of %s in %s, term %d", name, dataCentre, acquired.term());
                recordHolder(name, owner, acquired.term(), "held here");
            }
            case LeaseStep.Observing observing ->
                recordHolder(name, observing.owner(), 0, "observed from here, expires unless renewed");
            case LeaseStep.Lost lost ->
                LOG.infof("planner: lost the plan of %s, former term %d", name, lost.formerTerm());
        }
    }

    private void recordHolder(ServiceName name, String holder, long term, String detail) {
        duties.put(
                name,
                new DutyStatus(
                        DUTY_NAME,
                        Optional.of(name.team()),
                        Optional.of(name.service()),
                        dataCentre,
                        Optional.of(holder),
                        term,
                        detail));
    }

    private PlanHolder newHolder(ServiceName name) {
        ObjectKey key = new ObjectKey(ObjectKind.ROLE_PLAN, name.team(), name.service() + "." + dataCentre);
        return new PlanHolder(store, key, owner, LeaseTimings.DEFAULT, time, random);
    }

    private boolean hasEnginesHere(ServiceDocument document) {
        return document.backends().stream()
                .anyMatch(backend -> backend instanceof BackendDeclaration.EngineDeclaration engine
                        && engine.dataCentre().equals(dataCentre));
    }

    private static void resign(PlanHolder holder) {
        try {
            holder.resign();
        } catch (StoreException unavailable) {
            LOG.debugf("planner: could not release a lease, it will expire: %s", unavailable.problem());
        }
    }
}
