package org.aspenmoor.internal.bench.replay.run;

import java.util.Arrays;
import java.util.Optional;

/** Mechanisms that can be switched off to measure their effect. */
public enum Mechanism {
    /** Entries report to each other the work that they have assigned to engines. */
    PEER_LOADS("peer-loads"),
    /** Entries report to each other the prompts that they have assigned to engines. */
    PEER_PROMPTS("peer-prompts"),
    /** Entries report to each other the engine speeds that they have learned. */
    PEER_SPEEDS("peer-speeds"),
    /** Cached parts of a prompt are transferred from the engine that holds them. */
    FETCHES("fetches"),
    /** Prefill and decode run on two engines (disaggregated serving). */
    STAGING("staging"),
    /** Requests are queued at the entry until an engine has room. */
    WAITING("waiting"),
    /** Engines change their role after an engine is lost; without it, no role changes at all are ordered. */
    ROLE_MOVES("role-moves"),
    /** Engines change their role with the load of long answers. */
    LOAD_FOLLOWING("load-following"),
    /** Answers that their engine will not complete in time continue at another one. */
    RESCUES("rescues");

    private final String label;

    Mechanism(String label) {
        this.label = label;
    }

    /** Returns the name used on the command line. */
    public String label() {
        return label;
    }

    /** Finds a mechanism by its name on the command line. */
    public static Optional<Mechanism> find(String label) {
        return Arrays.stream(values()).filter(each -> each.label.equals(label)).findFirst();
    }
}
