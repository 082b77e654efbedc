package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * How many engines have each role.
 *
 * @param prefill engines that compute prompts
 * @param decode engines that generate answers
 * @param whole engines that do both
 */
public record RoleSplit(int prefill, int decode, int whole) {
    /** Returns how many engines there are. */
    public int total() {
        return prefill + decode + whole;
    }

    /** Returns how many engines have a role. */
    public int count(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case WHOLE -> whole;
        };
    }

    /** Returns the split with more or fewer engines of a role. */
    public RoleSplit plus(EngineRole role, int engines) {
        return switch (role) {
            case PREFILL -> new RoleSplit(prefill + engines, decode, whole);
            case DECODE -> new RoleSplit(prefill, decode + engines, whole);
            case WHOLE -> new RoleSplit(prefill, decode, whole + engines);
        };
    }

    /** Returns how many engines change on the way to another split of as many engines. */
    public int changesTo(RoleSplit other) {
        return Math.max(0, other.prefill - prefill)
                + Math.max(0, other.decode - decode)
                + Math.max(0, other.whole - whole);
    }

    /** Returns what works while the engines that change are away. */
    public RoleSplit during(RoleSplit other) {
        return new RoleSplit(
                Math.min(prefill, other.prefill), Math.min(decode, other.decode), Math.min(whole, other.whole));
    }

    /** Says whether both stages of a request can run. */
    public boolean servesBothStages() {
        return whole > 0 || (prefill > 0 && decode > 0);
    }

    /** Says whether no engine waits for a stage that nobody does. */
    public boolean isPaired() {
        return (prefill == 0) == (decode == 0) || whole > 0;
    }

    @Override
    public String toString() {
        return prefill + " prefill, " + decode + " decode, " + whole + " whole";
    }
}
