package org.aspenmoor.internal.serving.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;

/**
 * Decides how many engines of one service run prefill and how many run decode.
 *
 * <p>It is designed for prompts of thousands of tokens with answers of tens of tokens. Prefill takes nearly all of the
 * engines' time. A decode engine runs prefill at less than half the speed and between the tokens of its streams, which
 * then take seconds instead of tenths of a second. A few engines therefore decode all answers, and the others run
 * prefill.
 *
 * <p>A role change makes an engine unavailable for seconds. While there is traffic, a small deviation is therefore
 * tolerated, and only one engine changes at a time.
 */
public final class RoleRatioPolicy {
    /**
     * Fraction of the engines that run decode. Two of eight generate far more tokens than are requested; the
     * bottleneck is their network link, over which the cache of every computed prompt is transferred. With one
     * decode engine, cache transfers took seconds.
     */
    private static final double DECODE_FRACTION = 0.375;

    /**
     * With fewer decode engines than this, their network links are the bottleneck, so the shortage is corrected
     * even while there is traffic.
     */
    private static final int MIN_DECODE_ENGINES = 2;

    /** Up to this number of engines one decode engine is enough; two would leave too few for prefill. */
    private static final int MAX_ENGINES_FOR_SINGLE_DECODER = 3;

    /**
     * Deviation from the target up to which engines keep their roles while there is traffic. Up to half of the
     * engines may in addition be temporarily reassigned to decoding long answers.
     */
    private static final int TOLERATED_DEVIATION = 1;

    /**
     * Returns the changes that are due, in the order in which they should be made.
     *
     * @param idle whether there is no traffic, so that several engines may change at once
     */
    public List<PlannedRoleChange> plannedChanges(List<BackendServer> engines, boolean idle) {
        List<BackendServer> prefillEngines = readyEngines(EngineRole.PREFILL, engines);
        List<BackendServer> decodeEngines = readyEngines(EngineRole.DECODE, engines);
        int total = prefillEngines.size() + decodeEngines.size();
        if (total < 2) {
            return List.of();
        }
        int missingDecodeEngines = targetDecodeEngines(total) - decodeEngines.size();
        boolean enoughEngines = !prefillEngines.isEmpty()
                && decodeEngines.size() >= Math.min(MIN_DECODE_ENGINES, targetDecodeEngines(total));
        boolean temporarilyReassigned = missingDecodeEngines < 0 && decodeEngines.size() <= prefillEngines.size();
        boolean tolerated = !idle
                && enoughEngines
                && (temporarilyReassigned || Math.abs(missingDecodeEngines) <= TOLERATED_DEVIATION);
        if (missingDecodeEngines == 0 || tolerated) {
            return List.of();
        }
        List<PlannedRoleChange> changes = missingDecodeEngines > 0
                ? selectChanges(prefillEngines, decodeEngines, missingDecodeEngines, EngineRole.DECODE)
                : selectChanges(decodeEngines, decodeEngines, -missingDecodeEngines, EngineRole.PREFILL);
        return idle ? changes : changes.subList(0, 1);
    }

    /** Returns how many of the given number of engines run decode if nothing is known about the load. */
    static int targetDecodeEngines(int total) {
        if (total <= MAX_ENGINES_FOR_SINGLE_DECODER) {
            return 1;
        }
        return Math.max(2, (int) Math.round(total * DECODE_FRACTION));
    }

    /**
     * Selects engines for a change to prefill from the data centres with the most decode engines, and for a change
     * to decode from those with the fewest, and within them by their software versions.
     */
    private static List<PlannedRoleChange> selectChanges(
            List<BackendServer> from, List<BackendServer> decodeEngines, int count, EngineRole role) {
        List<BackendServer> candidates = new ArrayList<>(from);
        List<BackendServer> remainingDecodeEngines = new ArrayList<>(decodeEngines);
        List<PlannedRoleChange> changes = new ArrayList<>();
        for (int index = 0; index < count && !candidates.isEmpty(); index++) {
            Comparator<BackendServer> byDecodeEngines =
                    Comparator.comparingLong(server -> countInSameDataCentre(server, remainingDecodeEngines));
            Comparator<BackendServer> byDataCentre =
                    role == EngineRole.PREFILL ? byDecodeEngines.reversed() : byDecodeEngines;
            Comparator<BackendServer> byVersion = Comparator.comparingInt(
                    server -> versionRank(role, countWithSameVersion(server, remainingDecodeEngines)));
            BackendServer chosen = candidates.stream()
                    .min(byDataCentre.thenComparing(byVersion).thenComparing(BackendServer::id))
                    .orElseThrow();
            candidates.remove(chosen);
            if (role == EngineRole.PREFILL) {
                remainingDecodeEngines.remove(chosen);
            } else {
                remainingDecodeEngines.add(chosen);
            }
            changes.add(new PlannedRoleChange(chosen, role));
        }
        return changes;
    }

    /**
     * Returns the rank of an engine for a change, the lowest first, so that the decode engines of a software version are
     * several or none: the streams of a single one can be continued nowhere if it fails.
     *
     * @param decodeEngines the number of decode engines of its version before the change
     */
    private static int versionRank(EngineRole role, long decodeEngines) {
        boolean leavesSingleOne = role == EngineRole.DECODE ? decodeEngines == 0 : decodeEngines == 2;
        boolean endsSingleOne = decodeEngines == 1;
        if (leavesSingleOne) {
            return 2;
        }
        return endsSingleOne ? 0 : 1;
    }

    private static long countWithSameVersion(BackendServer server, List<BackendServer> decodeEngines) {
        return decodeEngines.stream()
                .filter(engine -> engine.softwareVersion().equals(server.softwareVersion()))
                .count();
    }

    private static long countInSameDataCentre(BackendServer server, List<BackendServer> decodeEngines) {
        return decodeEngines.stream()
                .filter(engine -> engine.dataCentre().equals(server.dataCentre()))
                .count();
    }

    private static List<BackendServer> readyEngines(EngineRole role, List<BackendServer> engines) {
        return engines.stream()
                .filter(engine -> engine.role() == role && engine.state() == BackendState.READY)
                .toList();
    }
}
