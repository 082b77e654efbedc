package org.aspenmoor.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Estimated speeds of engines by service and role, learned from answers to this entry and from reports of other
 * entries.
 */
public final class EngineSpeeds {
    /**
     * Duration of a handoff until one has been measured, in seconds: the transfer, the first decode step and the
     * network.
     */
    private static final double INITIAL_HANDOFF_SECONDS = 0.035;

    /** Weight of a new handoff in the average duration; about the last twenty handoffs count. */
    private static final double LEARNING_WEIGHT = 0.05;

    /**
     * Limit of a measured handoff, in seconds: a longer one indicates a stalled engine and says nothing about the other
     * engines.
     */
    private static final double MAX_HANDOFF_SECONDS = 1;

    private final Map<ServiceRole, SpeedEstimate> estimates = new HashMap<>();
    private final Map<String, Double> handoffSecondsByService = new HashMap<>();

    /**
     * Returns the estimate for the engines of a service with a role. The returned object is updated by later answers.
     */
    SpeedEstimate estimateOf(String service, EngineRole role) {
        return estimates.computeIfAbsent(new ServiceRole(service, role), unseen -> new SpeedEstimate());
    }

    /**
     * Returns how long engines of the service typically take from the start of a handoff to the start of the answer.
     */
    double handoffSeconds(String service) {
        return handoffSecondsByService.getOrDefault(service, INITIAL_HANDOFF_SECONDS);
    }

    /** Records how long a handoff took. */
    void recordHandoff(String service, double seconds) {
        double known = handoffSeconds(service);
        handoffSecondsByService.put(
                service, known + LEARNING_WEIGHT * (Math.min(MAX_HANDOFF_SECONDS, seconds) - known));
    }

    /** Returns the speeds that are based on enough answers to be reported to other entries. */
    List<LearnedSpeed> learnedSpeeds() {
        List<LearnedSpeed> learned = new ArrayList<>();
        estimates.forEach((serviceRole, speed) -> {
            if (speed.known()) {
                learned.add(new LearnedSpeed(
                        serviceRole.service(), serviceRole.role(), speed.factor(), speed.fixedSeconds()));
            }
        });
        return learned;
    }

    /** Updates the estimate with a speed reported by another entry. */
    void learnFromPeer(LearnedSpeed peerSpeed) {
        estimateOf(peerSpeed.service(), peerSpeed.role()).learnFromPeer(peerSpeed.factor(), peerSpeed.fixedSeconds());
    }

    /** Returns what this entry has observed of the start of answers since the last call. */
    public List<ObservedStartDelays> takeObservedStartDelays() {
        List<ObservedStartDelays> observed = new ArrayList<>();
        estimates.forEach((serviceRole, speed) -> speed.startDelay()
                .takeObserved(serviceRole.service(), serviceRole.role())
                .ifPresent(observed::add));
        return observed;
    }

    /** Returns how long answers are expected to take until they start. */
    public List<StartDelaySummary> startDelays() {
        List<StartDelaySummary> summaries = new ArrayList<>();
        estimates.forEach((serviceRole, speed) -> summaries.add(new StartDelaySummary(
                serviceRole.service(),
                serviceRole.role(),
                speed.startDelay().workFactor(),
                speed.startDelay().fixedSeconds())));
        return summaries;
    }

    /** Learns from what another entry has observed of the start of answers. */
    public void learnStartDelays(ObservedStartDelays peer) {
        estimateOf(peer.service(), peer.role()).startDelay().learnFromPeer(peer);
    }

    private record ServiceRole(String service, EngineRole role) {}
}
