package org.aspenmoor.internal.bench.policy.trace;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Built-in traces of the bench. */
public enum BuiltInTrace {
    /** Mostly requests with long prompts and short answers, after an even mix at the start. */
    LONG_PROMPTS(false),
    /** Mostly requests with short prompts and long answers, after an even mix at the start. */
    LONG_ANSWERS(false),
    /** The mix drifts slowly between long prompts and long answers, and back. */
    SLOW_DRIFT(true),
    /** The mix switches abruptly between long prompts and long answers, every 40 to 60 seconds. */
    SUDDEN_SWINGS(true),
    /** The mix switches so fast that role changes do not pay off. */
    FAST_OSCILLATION(false),
    /** Load of 1.3 times the capacity of the fleet. */
    OVERLOAD_1_3(false),
    /** Load of twice the capacity of the fleet. */
    OVERLOAD_2(false),
    /** Two engines are withdrawn and restored later. */
    ENGINE_WITHDRAWN(false),
    /** Load reports are several seconds late while the mix switches. */
    LATE_REPORTS(true),
    /** One team sends far more requests than the others. */
    TEAM_FLOOD(false),
    /** Long prompts with shared prefixes. */
    PREFIX_HEAVY(false);

    private final boolean swings;

    BuiltInTrace(boolean swings) {
        this.swings = swings;
    }

    /** Returns whether the purpose of this trace is to test how a policy follows changes of the mix. */
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
