package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;

/** Callers of plain services: new calls, and repeats of calls made shortly before. */
final class CallTraffic {
    private static final double CALLS = 0.12;
    private static final double REPEATS = 0.4;
    private static final Duration REPEATED_WITHIN = Duration.ofMinutes(3);
    private static final String BODY = "body";

    private final SoakWorld world;
    private final List<Made> recent = new ArrayList<>();
    private long made;
    private boolean twiceNext;
    private boolean otherBodyNext;

    CallTraffic(SoakWorld world) {
        this.world = world;
    }

    void sendNextTwice() {
        twiceNext = true;
    }

    void sendNextWithOtherBody() {
        otherBodyNext = true;
    }

    /** Makes a call, or none. */
    void next() {
        recent.removeIf(call -> world.now() - call.atNanoseconds() > REPEATED_WITHIN.toNanos());
        if (!world.chance(CALLS)) {
            return;
        }
        SoakHouse house =
                world.houses().get(world.random().nextInt(world.houses().size()));
        ClaimKey key = anyKey(house);
        send(house, key, bodyOfNext());
        if (twiceNext) {
            twiceNext = false;
            world.log().happened(FaultKind.SAME_KEY_TWICE);
            send(house, key, BODY);
        }
    }

    private String bodyOfNext() {
        if (!otherBodyNext) {
            return BODY;
        }
        otherBodyNext = false;
        world.log().happened(FaultKind.KEY_WITH_OTHER_BODY);
        return "other body";
    }

    private ClaimKey anyKey(SoakHouse house) {
        List<Made> ofHouse = recent.stream()
                .filter(call -> call.key().team().equals(house.team()))
                .toList();
        if (!ofHouse.isEmpty() && (otherBodyNext || world.chance(REPEATS))) {
            return ofHouse.get(world.random().nextInt(ofHouse.size())).key();
        }
        made++;
        ClaimKey key = new ClaimKey(house.team(), "desk", "key-" + made);
        recent.add(new Made(key, world.now()));
        return key;
    }

    private void send(SoakHouse house, ClaimKey key, String body) {
        EntryProcess entry =
                house.entries().get(world.random().nextInt(house.entries().size()));
        ClaimRequest request = new ClaimRequest(RequestId.draw(world.random()), key, body);
        entry.deliver(() -> entry.bookings().request(request));
    }

    /** A key and when it was first used. */
    private record Made(ClaimKey key, long atNanoseconds) {}
}
