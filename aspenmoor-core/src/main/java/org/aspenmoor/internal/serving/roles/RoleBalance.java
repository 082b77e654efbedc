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
 * <p>The load it is made for: prompts of thousands of tokens with answers of tens. Prefill takes nearly all of the
 * engines' time. A decode engine runs prefill at less than half the speed and between the tokens of its streams,
 * which then take seconds instead of tenths of a second. A few engines therefore decode all answers, and the others
 * run prefill.
 *
 * <p>A role change makes an engine unavailable for seconds. While there is traffic, a small deviation is therefore
 * tolerated, and only one engine changes at a time.
 */
public final class RoleBalance {
    /**
     * Fraction of the engines that run decode. Two of eight generate far more tokens than are requested; the
     * bottleneck is their network link, over which the cache of every computed prompt is transferred. With one
     * decode engine, cache transfers took seconds.
     */
    private static final double DECODE_SHARE = 0.375;

    /**
     * With fewer decode engines than this, their network links are the bottleneck, so the shortage is corrected
     * even while there is traffic.
     */
    private static final int LEAST_DECODERS = 2;

    /** Up to this number of engines one decode engine is enough; two would leave too few for prefill. */
    private static final int FEW_ENGINES = 3;

    /**
     * Deviation from the target up to which engines keep their roles while there is traffic. Up to half of the
     * engines may in addition be temporarily reassigned to decoding long answers.
     */
    private static final int TOLERATED_DEVIATION = 1;

    /** Returns the changes that are due, in the order in which they should be made. */
    public List<RoleMove> moves(List<BackendServer> engines, boolean idle) {
        List<BackendServer> prefill = with(EngineRole.PREFILL, engines);
        List<BackendServer> decode = with(EngineRole.DECODE, engines);
        int total = prefill.size() + decode.size();
        if (total < 2) {
            return List.of();
        }
        int missing = wantedDecoders(total) - decode.size();
        boolean enough = !prefill.isEmpty() && decode.size() >= Math.min(LEAST_DECODERS, wantedDecoders(total));
        boolean lent = missing < 0 && decode.size() <= prefill.size();
        boolean tolerated = !idle && enough && (lent || Math.abs(missing) <= TOLERATED_DEVIATION);
        if (missing == 0 || tolerated) {
            return List.of();
        }
        List<RoleMove> moves = missing > 0
                ? moved(prefill, decode, missing, EngineRole.DECODE)
                : moved(decode, decode, -missing, EngineRole.PREFILL);
        return idle ? moves : moves.subList(0, 1);
    }

    /** Returns how many of the given number of engines run decode if nothing is known about the load. */
    static int wantedDecoders(int total) {
        if (total <= FEW_ENGINES) {
            return 1;
        }
        return Math.max(2, (int) Math.round(total * DECODE_SHARE));
    }

    /**
     * Selects engines for a change to prefill from the data centres with the most decode engines, and for a change
     * to decode from those with the fewest.
     */
    private static List<RoleMove> moved(
            List<BackendServer> from, List<BackendServer> decoders, int count, EngineRole role) {
        List<BackendServer> left = new ArrayList<>(from);
        List<BackendServer> decoding = new ArrayList<>(decoders);
        List<RoleMove> moves = new ArrayList<>();
        for (int move = 0; move < count && !left.isEmpty(); move++) {
            Comparator<BackendServer> byDecoders = Comparator.comparingLong(server -> inDataCentre(server, decoding));
            Comparator<BackendServer> order = role == EngineRole.PREFILL ? byDecoders.reversed() : byDecoders;
            BackendServer chosen =
                    left.stream().min(order.thenComparing(BackendServer::id)).orElseThrow();
            left.remove(chosen);
            if (role == EngineRole.PREFILL) {
                decoding.remove(chosen);
            } else {
                decoding.add(chosen);
            }
            moves.add(new RoleMove(chosen, role));
        }
        return moves;
    }

    private static long inDataCentre(BackendServer server, List<BackendServer> decoders) {
        return decoders.stream()
                .filter(decoder -> decoder.dataCentre().equals(server.dataCentre()))
                .count();
    }

    private static List<BackendServer> with(EngineRole role, List<BackendServer> engines) {
        return engines.stream()
                .filter(engine -> engine.role() == role && engine.state() == BackendState.READY)
                .toList();
    }
}
