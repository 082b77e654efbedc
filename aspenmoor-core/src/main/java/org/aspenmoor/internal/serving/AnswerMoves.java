package org.aspenmoor.internal.serving;

import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Decides which answers in progress continue at another engine after their last event. Confined to one thread;
 * {@code now} is the monotonic clock in nanoseconds.
 *
 * <p>Long answers are placed when the load of the next seconds is unknown. Later they may be on an engine that has become
 * too slow to complete them, while another one, which has returned or changed its role, has few. Without a move they use
 * their engine until the deadline and are lost.
 *
 * <p>Answers move one by one at random: if all moved at once, the other engines would have to prefill them one after the
 * other, and their streams would stall for too long.
 */
public final class AnswerMoves {
    /** Average number of events after which an answer moves. */
    private static final int MEAN_EVENTS_BEFORE_MOVE = 8;

    /** Part of the remaining time that an engine has to need at most; its pace may fall while more answers move there. */
    private static final double MAX_TIME_FRACTION = 0.85;

    /** Time until an answer continues at another engine, in seconds: the prompt and the events so far are prefilled. */
    private static final double MOVE_SECONDS = 0.25;

    /** Part of the time between two events that grows with the number of answers at an engine. */
    private static final double LOAD_DEPENDENT_FRACTION = 0.5;

    private final Map<String, ServerEstimate> estimates;
    private final PeerLoads peerLoads;
    private final SendFilter sendFilter;
    private final RequiredDecodeRate requiredDecodeRate;
    private final RandomGenerator random;

    AnswerMoves(
            Map<String, ServerEstimate> estimates,
            PeerLoads peerLoads,
            SendFilter sendFilter,
            RequiredDecodeRate requiredDecodeRate,
            RandomGenerator random) {
        this.estimates = estimates;
        this.peerLoads = peerLoads;
        this.sendFilter = sendFilter;
        this.requiredDecodeRate = requiredDecodeRate;
        this.random = random;
    }

    /**
     * Returns whether an answer should move now because its engine will stop decoding; to be called at each event. It
     * stays if no other engine may write the rest: its engine completes the answers that it has before it stops.
     */
    public boolean shouldLeave(AssignedWork work, long now) {
        return mustLeave(work, now) && isPicked() && canBeTakenOver(work, now);
    }

    private boolean canBeTakenOver(AssignedWork work, long now) {
        ServerEstimate present = estimates.get(work.server());
        return estimates.values().stream()
                .anyMatch(other -> acceptsFrom(present, other, now) && SendFilter.canAnswer(other));
    }

    /** Returns whether the answers of an engine have to move to another engine. */
    boolean mustLeave(AssignedWork work, long now) {
        ServerEstimate estimate = estimates.get(work.server());
        return estimate != null && estimate.mustMoveAnswers(now);
    }

    /**
     * Returns whether an answer should move now because its engine will probably not complete it in time, but another
     * one will; to be called at each event.
     */
    public boolean shouldBeRescued(AssignedWork work, AnswerInProgress answer, long now) {
        return isPicked() && canBeRescued(work, answer, now);
    }

    /** Returns whether another engine will probably complete an answer in time that its present engine will not. */
    boolean canBeRescued(AssignedWork work, AnswerInProgress answer, long now) {
        ServerEstimate present = estimates.get(work.server());
        if (present == null || present.server().role() != EngineRole.DECODE) {
            return false;
        }
        EngineLoad presentLoad = load(present, now);
        Optional<Double> remainingEvents = requiredDecodeRate
                .expectedEvents(present.server().service(), answer.prompt(), answer.events())
                .map(expected -> expected - answer.events());
        if (remainingEvents.isEmpty() || presentLoad.secondsPerEvent().isEmpty()) {
            return false;
        }
        double presentSeconds = presentLoad.secondsPerEvent().get() * remainingEvents.get();
        if (presentSeconds <= answer.secondsLeft()) {
            return false;
        }
        double allowedSeconds = MAX_TIME_FRACTION * (answer.secondsLeft() - MOVE_SECONDS);
        return estimates.values().stream()
                .filter(other -> other.server().role() == EngineRole.DECODE && acceptsFrom(present, other, now))
                .anyMatch(other ->
                        secondsPerEvent(load(other, now), presentLoad) * remainingEvents.get() < allowedSeconds);
    }

    private boolean acceptsFrom(ServerEstimate present, ServerEstimate other, long now) {
        BackendServer server = other.server();
        return other != present
                && server.service().equals(present.server().service())
                && server.softwareVersion().equals(present.server().softwareVersion())
                && !other.changingRole(now)
                && !other.health().paused(now)
                && sendFilter.maySend(other, now);
    }

    /** Returns the time between two events at an engine, at least what its number of answers lets expect. */
    private static double secondsPerEvent(EngineLoad other, EngineLoad present) {
        double relativeLoad = other.requests() / Math.max(1, present.requests());
        double expected = present.secondsPerEvent().orElseThrow()
                * (1 - LOAD_DEPENDENT_FRACTION + LOAD_DEPENDENT_FRACTION * relativeLoad);
        return Math.max(expected, other.secondsPerEvent().orElse(0.0));
    }

    private EngineLoad load(ServerEstimate estimate, long now) {
        return estimate.load(peerLoads.onServer(estimate.server().id()), now);
    }

    private boolean isPicked() {
        return random.nextInt(MEAN_EVENTS_BEFORE_MOVE) == 0;
    }
}
