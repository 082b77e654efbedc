package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * How many engines have each role.
 *
 * @param prefill engines that compute prompts
 * @param decode engines that generate answers
 * @param combined engines that do both
 */
public record RoleSplit(int prefill, int decode, int combined) {
    /** Returns how many engines there are. */
    public int total() {
        return prefill + decode + combined;
    }

    /** Returns how many engines have a role. */
    public int count(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case WHOLE -> combined;
        };
    }

    /** Returns the split with more or fewer engines of a role. */
    public RoleSplit plus(EngineRole role, int engines) {
        return switch (role) {
            case PREFILL -> new RoleSplit(prefill + engines, decode, combined);
            case DECODE -> new RoleSplit(prefill, decode + engines, combined);
            case WHOLE -> new RoleSplit(prefill, decode, combined + engines);
        };
    }

    /** Returns how many engines change on the way to another split of as many engines. */
    public int changesTo(RoleSplit other) {
        return Math.max(0, other.prefill - prefill)
                + Math.max(0, other.decode - decode)
                + Math.max(0, other.combined - combined);
    }

    /** Returns what works while the engines that change are away. */
    public RoleSplit duringChangeTo(RoleSplit other) {
        return new RoleSplit(
                Math.min(prefill, other.prefill), Math.min(decode, other.decode), Math.min(combined, other.combined));
    }

    /** Says whether both stages of a request can run. */
    public boolean servesBothStages() {
        return combined > 0 || (prefill > 0 && decode > 0);
    }

    /** Says whether no engine waits for a stage that nobody does. */
    public boolean hasNoIdleStage() {
        return (prefill == 0) == (decode == 0) || combined > 0;
    }

    @Override
    public String toString() {
        return prefill + " prefill, " + decode + " decode, " + combined + " whole";
    }
}
