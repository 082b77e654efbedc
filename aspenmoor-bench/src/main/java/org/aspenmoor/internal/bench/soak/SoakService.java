package org.aspenmoor.internal.bench.soak;

import java.time.Duration;

/** One plain service's host: its current agent, and whether it is leaving. */
final class SoakService {
    private static final Duration LEAVES_WITHIN = Duration.ofSeconds(20);

    private final SoakWorld world;
    private final String name;
    private ServiceAgent current;
    private int agents;

    SoakService(SoakWorld world, String name) {
        this.world = world;
        this.name = name;
        this.current = newAgent();
    }

    String name() {
        return name;
    }

    ServiceAgent current() {
        return current;
    }

    /** The host comes back under the same address. */
    void comeBack() {
        current.kill();
        current = newAgent();
    }

    /** Replaces a host some time after it began to leave. */
    void tidy() {
        boolean goneByNow = current.leavingSince().isPresent()
                && world.now() - current.leavingSince().getAsLong() > LEAVES_WITHIN.toNanos();
        if (goneByNow) {
            comeBack();
        }
    }

    private ServiceAgent newAgent() {
        agents++;
        return new ServiceAgent(world, name + "-agent#" + agents);
    }
}
