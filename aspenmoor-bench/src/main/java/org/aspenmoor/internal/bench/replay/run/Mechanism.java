package org.aspenmoor.internal.bench.replay.run;

import java.util.Arrays;
import java.util.Optional;

/** What can be switched off to see what it is worth. */
public enum Mechanism {
    PEER_LOADS("peer-loads"),
    PEER_PROMPTS("peer-prompts"),
    PEER_SPEEDS("peer-speeds"),
    FETCHES("fetches"),
    STAGING("staging"),
    WAITING("waiting"),
    ROLE_MOVES("role-moves");

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
