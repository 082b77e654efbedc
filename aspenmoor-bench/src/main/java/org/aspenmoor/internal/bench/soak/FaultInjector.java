package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** Brings a drawn fault about. */
final class FaultInjector {
    private static final Duration LONG_PAUSE = Duration.ofSeconds(70);
    private static final Duration LONG_OUTAGE = Duration.ofSeconds(25);
    private static final Duration PAST_THE_LEASE = Duration.ofSeconds(14);

    private final SoakWorld world;
    private final long seed;

    FaultInjector(SoakWorld world, long seed) {
        this.world = world;
        this.seed = seed;
    }

    void inject(DrawnFault fault) {
        SplittableRandom random = new SplittableRandom(seed * 31 + fault.index());
        FaultKind kind = fault.kind();
        switch (kind) {
            case ENTRY_KILLED, ENTRY_PAUSED -> injectIntoEntry(kind, anyEntry(random), random);
            case AGENT_KILLED, AGENT_PAUSED, AGENT_REPLACED_WHILE_PAUSED, CUT_FROM_ENGINE ->
                injectIntoAgent(kind, anyEngine(random), random);
            case KILLED_IN_CALL,
                    CUT_FROM_STORE,
                    PAUSED_BEFORE_WRITE,
                    PAUSED_AFTER_WRITE,
                    LEASE_LAPSED_IN_WRITE,
                    STORE_ANSWER_LOST,
                    STORE_REQUEST_LOST,
                    STORE_WRITE_LATE,
                    STALE_READ -> injectIntoStoreCalls(kind, random);
            case STORE_OUTAGE -> world.stopStore(upTo(LONG_OUTAGE, random));
            case ORDER_LOST, ORDER_ANSWER_LOST, ORDER_LATE, ORDER_BEYOND_WINDOW ->
                anyEngine(random).current().faults().arm(kind, Duration.ZERO);
            case ENGINE_CRASHED, ENGINE_GAVE_UP -> injectIntoEngine(kind, anyEngine(random));
            case SAME_KEY_TWICE -> world.calls().sendNextTwice();
            case KEY_WITH_OTHER_BODY -> world.calls().sendNextWithOtherBody();
            case CALL_LOST -> world.loseNextCall();
            case CALL_ANSWER_LOST -> world.loseNextCallAnswer();
            case FRAME_DELAYED, FRAME_DOUBLED, FRAME_CROSSED, FRAME_LOST ->
                world.frames().arm(kind);
            case HOST_LEAVES, HOST_RETURNS, LINK_CUT, LINK_SLOW -> injectIntoHost(kind, random);
            case HOST_LIST_LAGS -> {
                world.stopHostList(upTo(LONG_PAUSE, random));
                world.log().happened(kind);
            }
        }
    }

    private void injectIntoEntry(FaultKind kind, EntryProcess entry, SplittableRandom random) {
        world.log().happened(kind);
        if (kind == FaultKind.ENTRY_KILLED) {
            entry.kill();
        } else {
            entry.pauseUntil(world.now() + upTo(LONG_PAUSE, random).toNanos());
        }
    }

    private void injectIntoAgent(FaultKind kind, SoakEngine site, SplittableRandom random) {
        AgentProcess agent = site.current();
        long until = world.now() + upTo(LONG_PAUSE, random).toNanos();
        switch (kind) {
            case AGENT_KILLED -> agent.kill();
            case AGENT_PAUSED -> agent.pauseUntil(until);
            case AGENT_REPLACED_WHILE_PAUSED -> {
                agent.pauseUntil(until);
                site.replaceAgent();
            }
            default -> {
                agent.faults().cutFromEngine(upTo(LONG_OUTAGE, random));
                return;
            }
        }
        world.log().happened(kind);
    }

    private void injectIntoStoreCalls(FaultKind kind, SplittableRandom random) {
        boolean atEntry = kind == FaultKind.LEASE_LAPSED_IN_WRITE || random.nextBoolean();
        ProcessFaults faults = atEntry
                ? anyEntry(random).faults()
                : anyEngine(random).current().faults();
        if (kind == FaultKind.CUT_FROM_STORE) {
            faults.cutFromStore(upTo(LONG_OUTAGE, random));
        } else if (kind == FaultKind.LEASE_LAPSED_IN_WRITE) {
            faults.arm(kind, PAST_THE_LEASE.plus(upTo(LONG_PAUSE, random)));
        } else {
            faults.arm(kind, upTo(LONG_PAUSE, random));
        }
    }

    private void injectIntoEngine(FaultKind kind, SoakEngine site) {
        if (kind == FaultKind.ENGINE_CRASHED) {
            site.crash();
            world.log().happened(kind);
        } else {
            site.giveUpNextOrder();
        }
    }

    private void injectIntoHost(FaultKind kind, SplittableRandom random) {
        SoakHouse house = any(world.houses(), random);
        SoakService service = any(house.services(), random);
        EntryProcess entry = any(house.entries(), random);
        world.log().happened(kind);
        switch (kind) {
            case HOST_LEAVES -> {
                service.current().leave();
                house.entries().forEach(every -> every.members().tellLeaving(service));
            }
            case HOST_RETURNS -> service.comeBack();
            case LINK_CUT -> entry.members().cut(service, upTo(LONG_OUTAGE, random));
            default -> entry.members().slowDown(service, upTo(LONG_OUTAGE, random));
        }
    }

    private EntryProcess anyEntry(SplittableRandom random) {
        return any(any(world.houses(), random).entries(), random);
    }

    private SoakEngine anyEngine(SplittableRandom random) {
        return any(any(world.houses(), random).engines(), random);
    }

    private static <T> T any(List<T> choices, SplittableRandom random) {
        return choices.get(random.nextInt(choices.size()));
    }

    private static Duration upTo(Duration longest, SplittableRandom random) {
        return Duration.ofMillis(1 + random.nextLong(longest.toMillis()));
    }
}
