package org.aspenmoor.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;

/** What answers have taught this entry, and others have told it, of how fast engines work; by service and role. */
final class EngineSpeeds {
    /** A hand-over until one is seen, in seconds: the transfer, the first step and the way. */
    private static final double FIRST_HAND_OVER_SECONDS = 0.035;

    /** Weight of one more hand-over in what one usually takes: about the last twenty count. */
    private static final double LEARNING_SHARE = 0.05;

    /** A hand-over that took longer met an engine that hung and says nothing of the others, in seconds. */
    private static final double MOST_HAND_OVER_SECONDS = 1;

    private final Map<EngineKind, SpeedEstimate> estimates = new HashMap<>();
    private final Map<String, Double> handOvers = new HashMap<>();

    /** Returns what is known of the engines of a service with a role; it goes on learning. */
    SpeedEstimate of(String service, EngineRole role) {
        return estimates.computeIfAbsent(new EngineKind(service, role), unseen -> new SpeedEstimate());
    }

    /** Returns how long an engine of the service usually takes to take a computed prompt over and begin its answer. */
    double handOverSeconds(String service) {
        return handOvers.getOrDefault(service, FIRST_HAND_OVER_SECONDS);
    }

    /** Notes how long one took. */
    void tookOver(String service, double seconds) {
        double known = handOverSeconds(service);
        handOvers.put(service, known + LEARNING_SHARE * (Math.min(MOST_HAND_OVER_SECONDS, seconds) - known));
    }

    /** Returns what is known well enough to tell others. */
    List<LearntSpeed> learnt() {
        List<LearntSpeed> learnt = new ArrayList<>();
        estimates.forEach((kind, speed) -> {
            if (speed.known()) {
                learnt.add(new LearntSpeed(kind.service(), kind.role(), speed.factor(), speed.fixedSeconds()));
            }
        });
        return learnt;
    }

    /** Takes in what another entry knows. */
    void heard(LearntSpeed heard) {
        of(heard.service(), heard.role()).heard(heard.factor(), heard.fixedSeconds());
    }

    private record EngineKind(String service, EngineRole role) {}
}
