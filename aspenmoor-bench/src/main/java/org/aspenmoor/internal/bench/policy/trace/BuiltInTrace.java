package org.aspenmoor.internal.bench.policy.trace;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The traces that come with the bench. */
public enum BuiltInTrace {
    /** Long scripts for short cues, after a mixed start. */
    LONG_PROMPTS(false),
    /** Short mixtures with long hazard text, after a mixed start. */
    LONG_ANSWERS(false),
    /** The mix drifts from prompts to answers and back. */
    SLOW_DRIFT(true),
    /** The mix swings both ways within a minute. */
    SUDDEN_SWINGS(true),
    /** The mix swings faster than a role change pays. */
    FAST_OSCILLATION(false),
    /** 1.3 times what the fleet can do. */
    OVERLOAD_1_3(false),
    /** Twice what the fleet can do. */
    OVERLOAD_2(false),
    /** Two engines are withdrawn and come back. */
    ENGINE_WITHDRAWN(false),
    /** Load reports are late by several seconds, while the mix swings. */
    LATE_REPORTS(true),
    /** One team floods the others. */
    TEAM_FLOOD(false),
    /** Long prompts with shared starts. */
    PREFIX_HEAVY(false);

    private final boolean swings;

    BuiltInTrace(boolean swings) {
        this.swings = swings;
    }

    /** Says whether following the mix is what this trace is about. */
    public boolean swings() {
        return swings;
    }

    /** Returns the name used on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds a trace by its name on the command line. */
    public static Optional<BuiltInTrace> find(String label) {
        return Arrays.stream(values())
                .filter(trace -> trace.label().equals(label))
                .findFirst();
    }
}
