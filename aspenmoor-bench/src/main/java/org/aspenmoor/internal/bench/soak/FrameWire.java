package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/** Carries frames of streams to entries, with faults that wait for the next frame. */
final class FrameWire {
    private static final int LONGEST_DELAY_MILLISECONDS = 20_000;

    private final SoakWorld world;
    private final Set<FaultKind> armed = EnumSet.noneOf(FaultKind.class);

    FrameWire(SoakWorld world) {
        this.world = world;
    }

    void arm(FaultKind kind) {
        armed.add(kind);
    }

    void send(EntryProcess entry, StreamFrame frame, Duration latency) {
        if (strikes(FaultKind.FRAME_LOST)) {
            return;
        }
        if (strikes(FaultKind.FRAME_DELAYED)) {
            world.schedule(longDelay(), entry, () -> entry.received(frame));
            return;
        }
        world.schedule(latency, entry, () -> entry.received(frame));
        if (strikes(FaultKind.FRAME_DOUBLED)) {
            world.schedule(longDelay(), entry, () -> entry.received(frame));
        }
        if (strikes(FaultKind.FRAME_CROSSED)) {
            EntryProcess other = world.anyEntry();
            world.schedule(longDelay(), other, () -> other.received(frame));
        }
    }

    private Duration longDelay() {
        return Duration.ofMillis(world.random().nextInt(LONGEST_DELAY_MILLISECONDS));
    }

    private boolean strikes(FaultKind kind) {
        if (!armed.remove(kind)) {
            return false;
        }
        world.log().happened(kind);
        return true;
    }
}
