package org.aspenmoor.internal.serving.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;

/**
 * Decides how many engines of one service compute prompts and how many generate answers.
 *
 * <p>The load it answers: prompts of thousands of tokens with answers of tens. Computing prompts takes nearly all of the
 * engines' time, and an engine for answers does it at under half the speed and between the tokens of its streams, which
 * then take seconds instead of tenths. A few engines generate all answers; the others compute prompts.
 *
 * <p>A change of role takes an engine away for seconds. So while there is traffic a small deviation stays, and one engine
 * changes at a time.
 */
public final class RoleBalance {
    /**
     * Part of the engines that generate answers. Two of eight generate far more tokens than are asked for; what binds is
     * their link, over which every computed prompt is fetched. With one left, fetching took seconds.
     */
    private static final double DECODE_SHARE = 0.375;

    /** With fewer engines for answers than this, their links bind; the loss is mended also while there is traffic. */
    private static final int LEAST_DECODERS = 2;

    /** Up to this many engines one is enough for answers; two would leave too little for prompts. */
    private static final int FEW_ENGINES = 3;

    /**
     * While there is traffic, engines change their role only where so many too many or too few have one; up to half of them
     * may be lent to long answers.
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

    /** Returns how many of so many engines generate answers where nothing is known of the load. */
    static int wantedDecoders(int total) {
        if (total <= FEW_ENGINES) {
            return 1;
        }
        return Math.max(2, (int) Math.round(total * DECODE_SHARE));
    }

    /** Takes engines where the role they leave is most common among the decoders' data centres, or the new one least. */
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
