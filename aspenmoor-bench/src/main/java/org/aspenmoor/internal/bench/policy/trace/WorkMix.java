package org.aspenmoor.internal.bench.policy.trace;

/**
 * The fractions of engine time that the request kinds of a fleet need.
 *
 * @param promptHeavy fraction of the kind with long prompts
 * @param outputHeavy fraction of the kind with long answers
 * @param other fraction of each further kind
 */
record WorkMix(double promptHeavy, double outputHeavy, double other) {
    static final WorkMix PROMPT_HEAVY = new WorkMix(0.85, 0.05, 0.10);
    static final WorkMix OUTPUT_HEAVY = new WorkMix(0.05, 0.85, 0.10);
    static final WorkMix EVEN = new WorkMix(0.40, 0.40, 0.20);

    static WorkMix interpolate(WorkMix from, WorkMix to, double fraction) {
        return new WorkMix(
                from.promptHeavy + fraction * (to.promptHeavy - from.promptHeavy),
                from.outputHeavy + fraction * (to.outputHeavy - from.outputHeavy),
                from.other + fraction * (to.other - from.other));
    }

    double fractionOf(int kindIndex) {
        return switch (kindIndex) {
            case 0 -> promptHeavy;
            case 1 -> outputHeavy;
            default -> other;
        };
    }
}
