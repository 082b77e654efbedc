package org.aspenmoor.internal.serving;

/**
 * How much an answer's delay weighs against the engines' time that a placement takes.
 *
 * <p>The load it answers: bursts in which prompts queue for tenths of a second. Callers gain nothing from an answer that is
 * well on time and comes sooner still, but where every answer is made as fast as it can be, short prompts are computed
 * between the tokens of running answers, at a third of the speed, and shared parts are computed a second time at idle
 * engines; both fill the queues of those behind.
 */
final class DelayCost {
    /** Part of the time until the objective that an estimate may use up; estimates are off by up to a third of a second. */
    private static final double SAFE_SHARE = 0.6;

    /** Weight of a delay within the safe part; above zero, so that of two cheap places the sooner one is taken. */
    private static final double EASE = 0.2;

    private DelayCost() {}

    /** Returns the cost in seconds of an answer that begins in the given time, with so much time left to be on time. */
    static double of(double answerSeconds, double onTimeSeconds) {
        double safe = SAFE_SHARE * Math.max(0, onTimeSeconds);
        double eased = Math.min(answerSeconds, safe);
        return EASE * eased + (answerSeconds - eased);
    }
}
