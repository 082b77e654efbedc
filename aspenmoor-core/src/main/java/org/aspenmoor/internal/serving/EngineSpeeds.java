package org.aspenmoor.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;

/** What answers have taught this entry, and others have told it, of how fast engines work; by service and role. */
final class EngineSpeeds {
    /** A hand-over until one is seen, in seconds: the transfer, the first step and the way. */
    private static final double INITIAL_HANDOFF_SECONDS = 0.035;

    /** Weight of one more hand-over in what one usually takes: about the last twenty count. */
    private static final double LEARNING_WEIGHT = 0.05;

    /** A hand-over that took longer met an engine that hung and says nothing of the others, in seconds. */
    private static final double MAX_HANDOFF_SECONDS = 1;

    private final Map<ServiceRole, SpeedEstimate> estimates = new HashMap<>();
    private final Map<String, Double> handoffSecondsByService = new HashMap<>();

    /** Returns what is known of the engines of a service with a role; it goes on learning. */
    SpeedEstimate estimateOf(String service, EngineRole role) {
        return estimates.computeIfAbsent(new ServiceRole(service, role), unseen -> new SpeedEstimate());
    }

    /** Returns how long an engine of the service usually takes to take a computed prompt over and begin its answer. */
    double handoffSeconds(String service) {
        return handoffSecondsByService.getOrDefault(service, INITIAL_HANDOFF_SECONDS);
    }

    /** Notes how long one took. */
    void recordHandoff(String service, double seconds) {
        double known = handoffSeconds(service);
        handoffSecondsByService.put(service, known + LEARNING_WEIGHT * (Math.min(MAX_HANDOFF_SECONDS, seconds) - known));
    }

    /** Returns what is known well enough to tell others. */
    List<LearnedSpeed> learnedSpeeds() {
        List<LearnedSpeed> learned = new ArrayList<>();
        estimates.forEach((serviceRole, speed) -> {
            if (speed.known()) {
                learned.add(new LearnedSpeed(serviceRole.service(), serviceRole.role(), speed.factor(), speed.fixedSeconds()));
            }
        });
        return learned;
    }

    /** Takes in what another entry knows. */
    void learnFromPeer(LearnedSpeed peerSpeed) {
        estimateOf(peerSpeed.service(), peerSpeed.role()).learnFromPeer(peerSpeed.factor(), peerSpeed.fixedSeconds());
    }

    private record ServiceRole(String service, EngineRole role) {}
}
