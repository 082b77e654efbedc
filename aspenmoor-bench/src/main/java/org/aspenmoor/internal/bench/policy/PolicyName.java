package org.aspenmoor.internal.bench.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The policies that the bench compares. */
public enum PolicyName {
    /** The decisions of aspenmoor. */
    ASPENMOOR,
    /** The fixed split of prefill and decode engines that is best in hindsight. */
    BEST_FIXED_PAIR,
    /** The fixed split, engines for whole requests included, that is best in hindsight. */
    BEST_FIXED,
    /** One engine at a time by load thresholds. */
    THRESHOLD,
    /** Aspenmoor's planner with round-robin routing. */
    ROUND_ROBIN,
    /** Aspenmoor's planner with routing by the least reported load. */
    LEAST_REPORTED_LOAD,
    /** Plans with the whole trace known; the best of several such plans and all fixed splits. */
    CLAIRVOYANT;

    /** Returns the name used on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds a policy by its name on the command line. */
    public static Optional<PolicyName> find(String label) {
        return Arrays.stream(values())
                .filter(policy -> policy.label().equals(label))
                .findFirst();
    }
}
