package org.aspenmoor.internal.gateway.roles;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.aspenmoor.internal.duty.DutyLease;
import org.aspenmoor.internal.gateway.backend.AnswerCollector;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.EngineReport;
import org.aspenmoor.internal.gateway.protocol.RoleOrder;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.roles.LoadBasedRolePolicy;
import org.aspenmoor.internal.serving.roles.PlannedRoleChange;
import org.aspenmoor.internal.serving.roles.RoleRatioPolicy;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.time.TimeSource;

/** Checks whether the engines have the roles that the traffic needs and orders role changes. Runs on its own thread. */
public final class RoleCoordinator {
    /** Interval between two checks. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    /**
     * Number of consecutive checks that must find roles other than the needed ones before this entry orders changes.
     * A single check is not enough, because engines that start together register one after the other.
     */
    private static final int MIN_DEVIATIONS = 2;

    /**
     * Number of consecutive checks with such a deviation after which an entry acts in place of the responsible one,
     * which may have failed without the others noticing.
     */
    private static final int MIN_DEVIATIONS_IF_NOT_RESPONSIBLE = 4;

    /**
     * Number of checks between two reads of the order lease. They take about as long as the lease's record has to stay
     * unchanged before another entry may acquire the lease.
     */
    private static final int CHECKS_BETWEEN_LEASE_READS = 6;

    /** Call timeout; an engine responds to such a call within milliseconds. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private static final int MIN_ERROR_STATUS = 300;
    private static final double MILLIS_PER_SECOND = 1000;

    private final String holder;
    private final Supplier<FleetSnapshot> snapshots;
    private final OrderListener listener;
    private final DutyLease lease;
    private final BackendConnections connections;
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final DecisionLog log;
    private final RoleRatioPolicy ratioPolicy = new RoleRatioPolicy();
    private final Map<String, LoadBasedRolePolicy> loadPolicies = new HashMap<>();
    private int consecutiveDeviations;
    private int checksSinceLeaseRead = CHECKS_BETWEEN_LEASE_READS;

    public RoleCoordinator(
            String holder,
            Supplier<FleetSnapshot> snapshots,
            OrderListener listener,
            DutyLease lease,
            BackendConnections connections,
            BackendProtocol protocol,
            EventLoop eventLoop,
            TimeSource time,
            DecisionLog log) {
        this.holder = holder;
        this.snapshots = snapshots;
        this.listener = listener;
        this.lease = lease;
        this.connections = connections;
        this.protocol = protocol;
        this.eventLoop = eventLoop;
        this.time = time;
        this.log = log;
    }

    /** Starts the worker thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("role-keeper").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(CHECK_INTERVAL.toNanos());
                checkRoles();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one check and orders the changes that are due. */
    void checkRoles() throws InterruptedException {
        FleetSnapshot snapshot = snapshots.get();
        boolean responsible = snapshot.orderDuty() == OrderDuty.RESPONSIBLE;
        observeLease(snapshot.orderDuty());
        for (ServiceLoad service : snapshot.services()) {
            List<PlannedRoleChange> changes =
                    ratioPolicy.plannedChanges(service.unrestrictedServers(), snapshot.idle());
            if (!changes.isEmpty()) {
                consecutiveDeviations++;
                boolean mayOrder = responsible || consecutiveDeviations >= MIN_DEVIATIONS_IF_NOT_RESPONSIBLE;
                if (consecutiveDeviations >= MIN_DEVIATIONS && mayOrder) {
                    sendOrder(changes);
                }
                return;
            }
        }
        consecutiveDeviations = 0;
        if (responsible && !snapshot.idle()) {
            changeRolesByLoad(snapshot.services());
        }
    }

    private void changeRolesByLoad(List<ServiceLoad> services) throws InterruptedException {
        for (ServiceLoad service : services) {
            LoadBasedRolePolicy policy =
                    loadPolicies.computeIfAbsent(service.name(), unseen -> new LoadBasedRolePolicy());
            Optional<PlannedRoleChange> change = policy.nextChange(service);
            if (change.isPresent()) {
                log.notable("role-follows-load")
                        .with("server", change.get().server().id())
                        .with("role", change.get().role().name())
                        .with(
                                "neededPaceMs",
                                Math.round(service.requiredEventSeconds().orElse(0.0) * MILLIS_PER_SECOND))
                        .with("prompts", service.promptLoad().name())
                        .write();
                if (sendOrder(List.of(change.get())) > 0) {
                    policy.changeAccepted();
                }
            }
        }
    }

    /**
     * Reads the lease so that it can be acquired when an order is due. The responsible entry reads it rarely, since each
     * read is a call to the store; the standby reads it at each check, because it has to have seen when the responsible
     * entry last used it.
     */
    private void observeLease(OrderDuty duty) throws InterruptedException {
        checksSinceLeaseRead++;
        boolean due = switch (duty) {
            case RESPONSIBLE -> checksSinceLeaseRead >= CHECKS_BETWEEN_LEASE_READS;
            case STANDBY -> true;
            case NONE -> false;
        };
        if (!due) {
            return;
        }
        checksSinceLeaseRead = 0;
        try {
            lease.observe();
        } catch (StoreException failure) {
            log.notable("order-right-unknown").with("reason", failure.problem()).write();
        }
    }

    /** Returns how many engines have accepted their order. */
    private int sendOrder(List<PlannedRoleChange> changes) throws InterruptedException {
        int acceptedOrders = 0;
        try {
            Optional<Long> fencingNumber = lease.acquire();
            if (fencingNumber.isEmpty()) {
                log.notable("roles-not-ordered")
                        .with("reason", "another entry may still hold the order lease")
                        .write();
                return 0;
            }
            listener.leaseAcquired(fencingNumber.get());
            for (PlannedRoleChange change : changes) {
                acceptedOrders += sendOrder(change, fencingNumber.get()) ? 1 : 0;
            }
            consecutiveDeviations = 0;
        } catch (StoreException failure) {
            log.notable("roles-not-ordered").with("reason", failure.problem()).write();
        }
        return acceptedOrders;
    }

    private boolean sendOrder(PlannedRoleChange change, long fencingNumber) throws InterruptedException {
        BackendServer server = change.server();
        try {
            AnswerCollector.Answer reportResponse = call(server, protocol.createReportRequest(server.id()));
            Optional<EngineReport> report = protocol.readReport(reportResponse.body());
            if (report.isEmpty()
                    || report.get().executingOrder()
                    || report.get().role() == change.role()) {
                return false;
            }
            if (!lease.isHeld()) {
                log.notable("role-not-ordered")
                        .with("server", server.id())
                        .with("reason", "the order lease has expired")
                        .write();
                return false;
            }
            RoleOrder order = new RoleOrder(
                    server.id(),
                    change.role(),
                    holder,
                    fencingNumber,
                    report.get().acceptedOrders());
            AnswerCollector.Answer orderResponse = call(server, protocol.createRoleOrderRequest(order));
            boolean accepted = orderResponse.status() < MIN_ERROR_STATUS;
            if (accepted) {
                listener.orderAccepted(new RoleChange(server.id(), change.role()));
            }
            log.notable(accepted ? "role-ordered" : "role-refused")
                    .with("server", server.id())
                    .with("role", change.role().name())
                    .with("number", fencingNumber)
                    .with("ordersTaken", report.get().acceptedOrders())
                    .with("status", orderResponse.status())
                    .write();
            return accepted;
        } catch (ExecutionException | TimeoutException failure) {
            // The order may still be carried out. The next check sees the engine's role, and the order count makes
            // the engine reject a late order.
            log.notable("role-order-unanswered")
                    .with("server", server.id())
                    .with("role", change.role().name())
                    .with("number", fencingNumber)
                    .with("reason", String.valueOf(failure.getMessage()))
                    .write();
            return false;
        }
    }

    /** Calls an engine; a call that cannot be answered in time is not sent later, when the lease may have passed on. */
    private AnswerCollector.Answer call(BackendServer server, FullHttpRequest request)
            throws InterruptedException, ExecutionException, TimeoutException {
        AnswerCollector response = new AnswerCollector();
        long startNanos = time.monotonicNanos();
        eventLoop.execute(() -> {
            Duration elapsed = Duration.ofNanos(time.monotonicNanos() - startNanos);
            connections.call(server, request, CALL_TIMEOUT.minus(elapsed), response);
        });
        return response.future().get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
