package org.aspenmoor.internal.gateway.roles;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.aspenmoor.internal.gateway.backend.AwaitedAnswer;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.EngineReport;
import org.aspenmoor.internal.gateway.protocol.RoleOrder;
import org.aspenmoor.internal.serving.BackendServer;
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

    private final String holder;
    private final Supplier<FleetSnapshot> fleet;
    private final OrderRight right;
    private final BackendConnections connections;
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final RoleBalance balance = new RoleBalance();
    private int deviations;
    private int looksUnobserved = LOOKS_BETWEEN_OBSERVATIONS;

    public RoleKeeper(
            String holder,
            Supplier<FleetSnapshot> fleet,
            OrderRight right,
            BackendConnections connections,
            BackendProtocol protocol,
            EventLoop eventLoop,
            DecisionLog log) {
        this.holder = holder;
        this.fleet = fleet;
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
        for (List<BackendServer> engines : snapshot.enginesByService()) {
            List<RoleMove> moves = balance.moves(engines, snapshot.idle());
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
        observeRight(snapshot.first());
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

    private void order(List<RoleMove> moves) throws InterruptedException {
        try {
            Optional<Long> number = right.acquire();
            if (number.isEmpty()) {
                return;
            }
            for (RoleMove move : moves) {
                order(move, number.get());
            }
            deviations = 0;
        } catch (StoreException away) {
            log.notable("roles-not-ordered").with("reason", away.problem()).write();
        }
    }

    private void order(RoleMove move, long number) throws InterruptedException {
        BackendServer server = move.server();
        try {
            AwaitedAnswer.Answer told = call(server, protocol.askReport(server.id()));
            Optional<EngineReport> report = protocol.readReport(told.body());
            if (report.isEmpty() || report.get().changing() || report.get().role() == move.role()) {
                return;
            }
            if (!right.holds()) {
                log.notable("role-not-ordered")
                        .with("server", server.id())
                        .with("reason", "the right to give orders has run out")
                        .write();
                return;
            }
            RoleOrder order = new RoleOrder(
                    server.id(), move.role(), holder, number, report.get().ordersTaken());
            AwaitedAnswer.Answer answer = call(server, protocol.order(order));
            log.notable(answer.status() < FIRST_REFUSAL ? "role-ordered" : "role-refused")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("ordersTaken", report.get().ordersTaken())
                    .with("status", answer.status())
                    .write();
        } catch (ExecutionException | TimeoutException lost) {
            // It may still be carried out; the next look sees the engine's role, and the count keeps a late one out.
            log.notable("role-order-unanswered")
                    .with("server", server.id())
                    .with("role", move.role().name())
                    .with("number", number)
                    .with("reason", String.valueOf(lost.getMessage()))
                    .write();
        }
    }

    private AwaitedAnswer.Answer call(BackendServer server, FullHttpRequest request)
            throws InterruptedException, ExecutionException, TimeoutException {
        AwaitedAnswer answer = new AwaitedAnswer();
        eventLoop.execute(() -> connections.send(server, "", request, answer));
        return answer.done().get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
