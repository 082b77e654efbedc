package org.aspenmoor.internal.bench.replay.run;

import java.util.Arrays;
import java.util.Optional;

/** What can be switched off to see what it is worth. */
public enum Mechanism {
    /** What entries tell each other of the work that they have at engines. */
    PEER_LOADS("peer-loads"),
    /** What they tell of the prompts that they have placed. */
    PEER_PROMPTS("peer-prompts"),
    /** What they tell of the speeds that they have learnt. */
    PEER_SPEEDS("peer-speeds"),
    /** Computed parts of a prompt come from the engine that keeps them. */
    FETCHES("fetches"),
    /** One engine computes a prompt, another generates the answer. */
    STAGING("staging"),
    /** Prompts wait at the entry until an engine has room. */
    WAITING("waiting"),
    /** Engines change their role after a loss. */
    ROLE_MOVES("role-moves"),
    /** Engines change their role with the load of long answers. */
    LOAD_FOLLOWING("load-following");

    private final String label;

    Mechanism(String label) {
        this.label = label;
    }

    /** Returns its name on the command line. */
    public String label() {
        return label;
    }

    /** Returns the mechanism with a name. */
    public static Optional<Mechanism> find(String label) {
        return Arrays.stream(values()).filter(each -> each.label.equals(label)).findFirst();
    }
}
