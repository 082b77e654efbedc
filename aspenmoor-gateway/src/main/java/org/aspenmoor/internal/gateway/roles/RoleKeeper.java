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
import org.aspenmoor.internal.gateway.backend.AwaitedAnswer;
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

/** Checks whether the engines have the roles that the traffic needs and orders role changes. Runs on its own thread. */
public final class RoleKeeper {
    /** Interval between two checks. */
    private static final Duration PAUSE = Duration.ofSeconds(2);

    /**
     * Number of consecutive checks that must find a deviation before this entry acts: engines that start register
     * one after the other.
     */
    private static final int LOOKS = 2;

    /**
     * Number of checks after which an entry acts in place of the responsible one, which may be disconnected from
     * the store.
     */
    private static final int LOOKS_IN_ANOTHERS_PLACE = 4;

    /**
     * Number of checks between two reads of the order lease: about the time for which its record must stay
     * unchanged.
     */
    private static final int LOOKS_BETWEEN_OBSERVATIONS = 6;

    /** Call timeout; an engine responds to such a call within milliseconds. */
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

    /** Starts the worker thread. */
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

    /** Runs one check and orders the changes that are due. */
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
                        .with("neededPaceMs", Math.round(service.neededPace().orElse(0.0) * MILLISECONDS))
                        .with("prompts", service.prompts().name())
                        .write();
                if (order(List.of(move.get())) > 0) {
                    follower.changed();
                }
            }
        }
    }

    /** Only the responsible entry reads the lease, and rarely, since each read is a call to the store. */
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
                        .with("reason", "another entry may still hold the order lease")
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
            AwaitedAnswer.Answer told = call(server, protocol.askReport(server.id()));
            Optional<EngineReport> report = protocol.readReport(told.body());
            if (report.isEmpty() || report.get().changing() || report.get().role() == move.role()) {
                return false;
            }
            if (!right.holds()) {
                log.notable("role-not-ordered")
                        .with("server", server.id())
                        .with("reason", "the order lease has expired")
                        .write();
                return false;
            }
            RoleOrder order = new RoleOrder(
                    server.id(), move.role(), holder, number, report.get().ordersTaken());
            AwaitedAnswer.Answer answer = call(server, protocol.order(order));
            boolean taken = answer.status() < FIRST_REFUSAL;
            if (taken) {
                accepted.accept(new RoleChange(server.id(), move.role()));
            }
            log.notable(taken ? "role-ordered" : "role-refused")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("ordersTaken", report.get().ordersTaken())
                    .with("status", answer.status())
                    .write();
            return taken;
        } catch (ExecutionException | TimeoutException lost) {
            // The order may still be carried out. The next check sees the engine's role, and the order count makes
            // the engine reject a late order.
            log.notable("role-order-unanswered")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("reason", String.valueOf(lost.getMessage()))
                    .write();
            return false;
        }
    }

    private AwaitedAnswer.Answer call(BackendServer server, FullHttpRequest request)
            throws InterruptedException, ExecutionException, TimeoutException {
        AwaitedAnswer answer = new AwaitedAnswer();
        eventLoop.execute(() -> connections.send(server, "", request, answer));
        return answer.done().get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
