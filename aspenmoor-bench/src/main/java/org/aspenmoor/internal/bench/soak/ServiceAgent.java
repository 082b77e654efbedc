package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.OptionalLong;

/** The agent beside a plain service: runs calls, refuses them once it is leaving or they have expired. */
final class ServiceAgent extends SoakProcess {
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final Duration LATENCY = Duration.ofMillis(5);

    private final SoakWorld world;
    private OptionalLong leavingSince = OptionalLong.empty();

    ServiceAgent(SoakWorld world, String incarnation) {
        super(incarnation);
        this.world = world;
    }

    OptionalLong leavingSince() {
        return leavingSince;
    }

    void leave() {
        if (leavingSince.isEmpty()) {
            leavingSince = OptionalLong.of(world.now());
        }
    }

    /** Takes a call from an entry. */
    void called(BookingCall call, EntryProcess entry) {
        boolean expired = world.now() - call.sentAtNanoseconds() >= DEADLINE.toNanos();
        if (expired || leavingSince.isPresent()) {
            world.schedule(LATENCY, entry, () -> entry.bookings().refused(call));
            return;
        }
        world.ledger().ran(call.claim());
        if (world.takeCallAnswerLoss()) {
            return;
        }
        world.schedule(LATENCY, entry, () -> entry.bookings().answered(call, call.answerDigest()));
    }

    @Override
    void work() {
        // It only answers messages.
    }
}
