package org.aspenmoor.internal.bench.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Policies that the bench compares. */
public enum PolicyName {
    /** Aspenmoor's own planner and router. */
    ASPENMOOR,
    /** The best fixed split into prefill and decode engines, selected after running all. */
    BEST_FIXED_PAIR,
    /**
     * The best fixed split, including splits with engines that serve both prefill and decode, selected after running
     * all.
     */
    BEST_FIXED,
    /** Changes the role of one engine at a time when load thresholds are crossed. */
    THRESHOLD,
    /** Aspenmoor's planner with round-robin routing. */
    ROUND_ROBIN,
    /** Aspenmoor's planner with routing by the least reported load. */
    LEAST_REPORTED_LOAD,
    /** Plans with knowledge of the whole trace; the best of several such plans and all fixed splits. */
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
