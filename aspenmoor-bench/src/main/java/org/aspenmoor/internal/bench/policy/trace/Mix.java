package org.aspenmoor.internal.bench.policy.trace;

/**
 * The share of engine time that each class of kinds asks for.
 *
 * @param promptHeavy the fleet's kind with the long prompt
 * @param outputHeavy the fleet's kind with the long answer
 * @param other its third kind
 */
record Mix(double promptHeavy, double outputHeavy, double other) {
    static final Mix PROMPTS = new Mix(0.85, 0.05, 0.10);
    static final Mix ANSWERS = new Mix(0.05, 0.85, 0.10);
    static final Mix EVEN = new Mix(0.40, 0.40, 0.20);

    static Mix between(Mix from, Mix to, double share) {
        return new Mix(
                from.promptHeavy + share * (to.promptHeavy - from.promptHeavy),
                from.outputHeavy + share * (to.outputHeavy - from.outputHeavy),
                from.other + share * (to.other - from.other));
    }

    double of(int position) {
        return switch (position) {
            case 0 -> promptHeavy;
            case 1 -> outputHeavy;
            default -> other;
        };
    }
}
