package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.customer.Customer;
import org.aspenmoor.internal.bench.replay.customer.EngineLoss;
import org.aspenmoor.internal.bench.replay.customer.LoadDay;
import org.aspenmoor.internal.bench.replay.customer.ServedKind;
import org.aspenmoor.internal.bench.replay.engine.ModelEngine;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.roles.LoadBasedRolePolicy;
import org.aspenmoor.internal.serving.roles.PlannedRoleChange;
import org.aspenmoor.internal.serving.roles.RoleRatioPolicy;

/** One day of one customer, replayed. */
public final class ReplayRun implements Callers {
    static final String SERVICE = "models";

    /** One way between an entry and an engine, with what the entry's processor takes. */
    static final double WAY_SECONDS = 0.0015;

    private static final double NANOSECONDS = 1e9;

    /** The day begins a moment after time zero, which stands for "never" in some places. */
    private static final double FIRST_SECOND = 0.001;

    private static final int TRIES = 2;
    private static final int PATIENCE_SHARE = 3;
    private static final double REPORT_SECONDS = 0.1;
    private static final double REPORT_SECONDS_FOR_EACH_PEER = 0.01;
    private static final double REPORT_LAG_SECONDS = 0.002;

    /** From a change of an engine to the moment at which entries know of it. */
    private static final double MEMBERSHIP_LAG_SECONDS = 1.2;

    private static final double ROLE_LOOK_SECONDS = 2;
    private static final double AFTER_SECONDS = 20;

    /** Part of its usual rate at which a kind that is not asked for is looked at again. */
    private static final double LEAST_RATE_SHARE = 0.05;

    /** Entries get uneven shares of the callers; the last has this many times the first one's. */
    private static final double ENTRY_SHARE_SPREAD = 1.6;

    private final Customer customer;
    private final LoadDay day;
    private final long seed;
    private final Set<Mechanism> off;
    private final EventLoop loop = new EventLoop();
    private final RandomGenerator random;
    private final AskGenerator generator;
    private final Map<String, ModelEngine> engines = new LinkedHashMap<>();
    private final List<ReplayEntry> entries = new ArrayList<>();
    private final IdentityHashMap<CallerAsk, AskOutcome> outcomes = new IdentityHashMap<>();
    private final List<AskOutcome> ordered = new ArrayList<>();
    private final List<DayPoint> points = new ArrayList<>();
    private final RoleRatioPolicy balance = new RoleRatioPolicy();
    private final LoadBasedRolePolicy follower = new LoadBasedRolePolicy();

    public ReplayRun(Customer customer, LoadDay day, long seed, Set<Mechanism> off) {
        this.customer = customer;
        this.day = day;
        this.seed = seed;
        this.off = off;
        SplittableRandom root = new SplittableRandom(seed);
        this.random = root.split();
        this.generator = new AskGenerator(root.split());
    }

    /** Plays the day to its end. */
    public DayResult play() {
        makeEngines();
        for (int index = 0; index < customer.entries(); index++) {
            entries.add(new ReplayEntry(
                    "entry-" + index, loop, engines, settings(index), off, this, new SplittableRandom(seed + index)));
        }
        tellAll();
        customer.kinds().forEach(kind -> loop.after(FIRST_SECOND, () -> nextAsk(kind)));
        entries.forEach(entry -> loop.after(random.nextDouble() * REPORT_SECONDS, () -> report(entry)));
        day.losses().forEach(loss -> loop.after(loss.fromSeconds(), () -> lose(loss)));
        loop.after(ROLE_LOOK_SECONDS, this::lookAtRoles);
        loop.after(1, this::note);
        loop.runUntil(day.seconds() + AFTER_SECONDS);
        return new DayTally(ordered).result(day.name(), seed, points);
    }

    /** Returns the settings that every entry starts with; speeds are only where learning begins. */
    private PlacementSettings settings(int index) {
        EngineSpeed speed = new EngineSpeed(112_000, 0.00341, 0.000097, 0.25, 2048, 0.008, 2_300_000);
        return new PlacementSettings(dataCentre(index), speed, 0.42, 0.000218);
    }

    private String dataCentre(int index) {
        return "data-centre-" + index % customer.dataCentres();
    }

    private void makeEngines() {
        List<BackendServer> servers = new ArrayList<>();
        for (int index = 0; index < customer.engines().count(); index++) {
            servers.add(server(index, EngineRole.PREFILL));
        }
        // The engines had their roles before the traffic came.
        for (PlannedRoleChange move : balance.plannedChanges(servers, true)) {
            int index = servers.indexOf(move.server());
            servers.set(index, server(index, move.role()));
        }
        for (int index = 0; index < servers.size(); index++) {
            double slowness = customer.engines().slowness(index);
            BackendServer server = servers.get(index);
            engines.put(server.id(), new ModelEngine(loop, customer.engines(), slowness, server));
        }
    }

    private BackendServer server(int index, EngineRole role) {
        return new BackendServer(
                "engine-" + index,
                0,
                SERVICE,
                "127.0.0.1",
                index,
                dataCentre(index),
                customer.engines().slots(),
                BackendState.READY,
                role);
    }

    private void tellAll() {
        for (ModelEngine engine : engines.values()) {
            for (ReplayEntry entry : entries) {
                if (engine.present()) {
                    entry.know(engine.server(), customer.engines().cacheTokens());
                } else {
                    entry.forget(engine.server().id());
                }
            }
        }
    }

    private void nextAsk(ServedKind kind) {
        if (loop.nowSeconds() >= day.seconds()) {
            return;
        }
        double rate = day.perSecond(kind, loop.nowSeconds());
        double pause = -Math.log(1 - random.nextDouble()) / Math.max(rate, kind.perSecond() * LEAST_RATE_SHARE);
        loop.after(pause, () -> {
            if (loop.nowSeconds() < day.seconds() && rate > 0) {
                CallerAsk ask = generator.draw(kind, loop.now());
                AskOutcome outcome = new AskOutcome(ask);
                outcomes.put(ask, outcome);
                ordered.add(outcome);
                entry().serve(ask);
            }
            nextAsk(kind);
        });
    }

    private ReplayEntry entry() {
        double drawn = Math.pow(random.nextDouble(), 1 / ENTRY_SHARE_SPREAD);
        return entries.get((int) (drawn * entries.size()));
    }

    private void report(ReplayEntry entry) {
        PeerReport report = entry.report();
        entries.stream()
                .filter(other -> other != entry)
                .forEach(other -> loop.after(REPORT_LAG_SECONDS, () -> other.hear(report)));
        double pause = Math.max(REPORT_SECONDS, REPORT_SECONDS_FOR_EACH_PEER * (entries.size() - 1));
        loop.after(pause, () -> report(entry));
    }

    private void lose(EngineLoss loss) {
        List.copyOf(engines.values()).get(loss.engine()).lose(loss.seconds());
        loop.after(MEMBERSHIP_LAG_SECONDS, this::tellAll);
        loop.after(loss.seconds() + MEMBERSHIP_LAG_SECONDS, this::tellAll);
    }

    private void lookAtRoles() {
        List<BackendServer> present = engines.values().stream()
                .filter(ModelEngine::present)
                .map(ModelEngine::server)
                .toList();
        if (!off.contains(Mechanism.ROLE_MOVES)) {
            List<PlannedRoleChange> moves = balance.plannedChanges(present, false);
            moves.forEach(this::order);
            if (moves.isEmpty() && !off.contains(Mechanism.LOAD_FOLLOWING)) {
                follower.nextChange(entries.getFirst().serviceLoad()).ifPresent(move -> {
                    order(move);
                    follower.changeAccepted();
                });
            }
        }
        tellAll();
        loop.after(ROLE_LOOK_SECONDS, this::lookAtRoles);
    }

    private void order(PlannedRoleChange move) {
        RoleChange change = new RoleChange(move.server().id(), move.role());
        engines.get(change.server()).order(change.role());
        entries.forEach(entry -> loop.after(REPORT_SECONDS, () -> entry.changing(change)));
    }

    private void note() {
        int waiting = entries.stream().mapToInt(ReplayEntry::waiting).sum();
        int second = points.size();
        points.add(new DayPoint(second, 0, 0, waiting, with(EngineRole.PREFILL), with(EngineRole.DECODE)));
        if (second + 1 < day.seconds()) {
            loop.after(1, this::note);
        }
    }

    private int with(EngineRole role) {
        return (int) engines.values().stream()
                .filter(engine -> engine.present() && engine.server().role() == role)
                .count();
    }

    @Override
    public void event(CallerAsk ask) {
        outcomes.get(ask).event(loop.now());
    }

    @Override
    public void complete(CallerAsk ask) {
        outcomes.get(ask).ended(AskEnd.COMPLETE, loop.now());
    }

    @Override
    public void refused(CallerAsk ask, Duration comeBackAfter) {
        AskOutcome outcome = outcomes.get(ask);
        long left = ask.deadlineAt() - loop.now();
        if (outcome.tries() >= TRIES || left <= 0) {
            outcome.ended(AskEnd.REFUSED, loop.now());
            return;
        }
        outcome.triedAgain();
        double pause = Math.min(comeBackAfter.toNanos(), left / PATIENCE_SHARE) / NANOSECONDS;
        loop.after(pause, () -> entry().serve(ask));
    }

    @Override
    public void failed(CallerAsk ask) {
        outcomes.get(ask).ended(AskEnd.FAILED, loop.now());
    }
}
