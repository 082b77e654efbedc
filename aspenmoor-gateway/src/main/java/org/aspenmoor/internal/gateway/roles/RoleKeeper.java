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
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.aspenmoor.internal.gateway.backend.AnswerCollector;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.EngineReport;
import org.aspenmoor.internal.gateway.protocol.RoleOrder;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.roles.LoadFollower;
import org.aspenmoor.internal.serving.roles.OrderRight;
import org.aspenmoor.internal.serving.roles.RoleBalance;
import org.aspenmoor.internal.serving.roles.RoleMove;
import org.aspenmoor.internal.store.StoreException;

/** Looks whether engines have the roles that the traffic needs and orders changes; a duty of its own thread. */
public final class RoleKeeper {
    /** Pause between two looks. */
    private static final Duration PAUSE = Duration.ofSeconds(2);

    /** A deviation must be seen so often in a row: engines that start register one after the other. */
    private static final int LOOKS = 2;

    /** After so many looks an entry acts though another one should have; that one may be cut off from the store. */
    private static final int LOOKS_IN_ANOTHERS_PLACE = 4;

    /** Looks between two observations of who may give orders: about the time for which its record must stand unchanged. */
    private static final int LOOKS_BETWEEN_OBSERVATIONS = 6;

    /** An engine answers such a call within milliseconds. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private static final int FIRST_REFUSAL = 300;
    private static final double MILLISECONDS = 1000;

    private final String holder;
    private final Supplier<FleetSnapshot> fleet;
    private final Consumer<RoleChange> accepted;
    private final OrderRight right;
    private final BackendConnections connections;
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final RoleBalance balance = new RoleBalance();
    private final Map<String, LoadFollower> followers = new HashMap<>();
    private int deviations;
    private int looksUnobserved = LOOKS_BETWEEN_OBSERVATIONS;

    public RoleKeeper(
            String holder,
            Supplier<FleetSnapshot> fleet,
            Consumer<RoleChange> accepted,
            OrderRight right,
            BackendConnections connections,
            BackendProtocol protocol,
            EventLoop eventLoop,
            DecisionLog log) {
        this.holder = holder;
        this.fleet = fleet;
        this.accepted = accepted;
        this.right = right;
        this.connections = connections;
        this.protocol = protocol;
        this.eventLoop = eventLoop;
        this.log = log;
    }

    /** Starts the duty. */
    public void start() {
        Thread.ofPlatform().daemon().name("role-keeper").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(PAUSE.toNanos());
                look();
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Looks once and orders what is due. */
    void look() throws InterruptedException {
        FleetSnapshot snapshot = fleet.get();
        observeRight(snapshot.first());
        for (ServiceLoad service : snapshot.services()) {
            List<RoleMove> moves = balance.moves(service.servers(), snapshot.idle());
            if (!moves.isEmpty()) {
                deviations++;
                boolean turn = snapshot.first() || deviations >= LOOKS_IN_ANOTHERS_PLACE;
                if (deviations >= LOOKS && turn) {
                    order(moves);
                }
                return;
            }
        }
        deviations = 0;
        if (snapshot.first() && !snapshot.idle()) {
            followLoad(snapshot.services());
        }
    }

    private void followLoad(List<ServiceLoad> services) throws InterruptedException {
        for (ServiceLoad service : services) {
            LoadFollower follower = followers.computeIfAbsent(service.name(), unseen -> new LoadFollower());
            Optional<RoleMove> move = follower.move(service);
            if (move.isPresent()) {
                log.notable("role-follows-load")
                        .with("server", move.get().server().id())
                        .with("role", move.get().role().name())
                        .with(
                                "neededPaceMs",
                                Math.round(service.requiredEventSeconds().orElse(0.0) * MILLISECONDS))
                        .with("prompts", service.promptLoad().name())
                        .write();
                if (order(List.of(move.get())) > 0) {
                    follower.changed();
                }
            }
        }
    }

    /** Only the entry whose turn it would be looks, and seldom: each look is a call to the store. */
    private void observeRight(boolean first) throws InterruptedException {
        looksUnobserved++;
        if (!first || looksUnobserved < LOOKS_BETWEEN_OBSERVATIONS) {
            return;
        }
        looksUnobserved = 0;
        try {
            right.observe();
        } catch (StoreException away) {
            log.notable("order-right-unknown").with("reason", away.problem()).write();
        }
    }

    /** Returns how many engines have accepted their order. */
    private int order(List<RoleMove> moves) throws InterruptedException {
        int acceptedOrders = 0;
        try {
            Optional<Long> number = right.acquire();
            if (number.isEmpty()) {
                log.notable("roles-not-ordered")
                        .with("reason", "another entry may still be giving orders")
                        .write();
                return 0;
            }
            for (RoleMove move : moves) {
                acceptedOrders += order(move, number.get()) ? 1 : 0;
            }
            deviations = 0;
        } catch (StoreException away) {
            log.notable("roles-not-ordered").with("reason", away.problem()).write();
        }
        return acceptedOrders;
    }

    private boolean order(RoleMove move, long number) throws InterruptedException {
        BackendServer server = move.server();
        try {
            AnswerCollector.Answer told = call(server, protocol.createReportRequest(server.id()));
            Optional<EngineReport> report = protocol.readReport(told.body());
            if (report.isEmpty()
                    || report.get().executingOrder()
                    || report.get().role() == move.role()) {
                return false;
            }
            if (!right.holds()) {
                log.notable("role-not-ordered")
                        .with("server", server.id())
                        .with("reason", "the right to give orders has run out")
                        .write();
                return false;
            }
            RoleOrder order = new RoleOrder(
                    server.id(), move.role(), holder, number, report.get().acceptedOrders());
            AnswerCollector.Answer answer = call(server, protocol.createRoleOrderRequest(order));
            boolean taken = answer.status() < FIRST_REFUSAL;
            if (taken) {
                accepted.accept(new RoleChange(server.id(), move.role()));
            }
            log.notable(taken ? "role-ordered" : "role-refused")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("ordersTaken", report.get().acceptedOrders())
                    .with("status", answer.status())
                    .write();
            return taken;
        } catch (ExecutionException | TimeoutException lost) {
            // It may still be carried out; the next look sees the engine's role, and the count keeps a late one out.
            log.notable("role-order-unanswered")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("reason", String.valueOf(lost.getMessage()))
                    .write();
            return false;
        }
    }

    private AnswerCollector.Answer call(BackendServer server, FullHttpRequest request)
            throws InterruptedException, ExecutionException, TimeoutException {
        AnswerCollector answer = new AnswerCollector();
        eventLoop.execute(() -> connections.send(server, "", request, answer));
        return answer.future().get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
