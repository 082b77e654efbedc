package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * The number of engines in each role.
 *
 * @param prefill engines that run prefill only
 * @param decode engines that run decode only
 * @param combined engines that serve both prefill and decode, of the role {@link EngineRole#WHOLE}
 */
public record RoleSplit(int prefill, int decode, int combined) {
    /** Returns the total number of engines. */
    public int total() {
        return prefill + decode + combined;
    }

    /** Returns the number of engines in a role. */
    public int count(EngineRole role) {
        return switch (role) {
            case PREFILL -> prefill;
            case DECODE -> decode;
            case WHOLE -> combined;
        };
    }

    /** Returns the split with so many engines of a role added; a negative number removes engines. */
    public RoleSplit plus(EngineRole role, int engines) {
        return switch (role) {
            case PREFILL -> new RoleSplit(prefill + engines, decode, combined);
            case DECODE -> new RoleSplit(prefill, decode + engines, combined);
            case WHOLE -> new RoleSplit(prefill, decode, combined + engines);
        };
    }

    /** Returns how many engines change their role in a transition to another split with the same total. */
    public int changesTo(RoleSplit other) {
        return Math.max(0, other.prefill - prefill)
                + Math.max(0, other.decode - decode)
                + Math.max(0, other.combined - combined);
    }

    /** Returns the engines that stay available during a transition to another split. */
    public RoleSplit duringChangeTo(RoleSplit other) {
        return new RoleSplit(
                Math.min(prefill, other.prefill), Math.min(decode, other.decode), Math.min(combined, other.combined));
    }

    /** Returns whether both stages of a request can run. */
    public boolean servesBothStages() {
        return combined > 0 || (prefill > 0 && decode > 0);
    }

    /** Returns whether no engine is idle for lack of engines that run the other stage. */
    public boolean hasNoIdleStage() {
        return (prefill == 0) == (decode == 0) || combined > 0;
    }

    @Override
    public String toString() {
        return prefill + " prefill, " + decode + " decode, " + combined + " whole";
    }
}
