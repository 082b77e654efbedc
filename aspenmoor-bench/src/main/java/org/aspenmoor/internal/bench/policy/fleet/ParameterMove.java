package org.aspenmoor.internal.bench.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Moves the fakes' parameters, to see whether conclusions depend on them.
 *
 * @param label what is moved and by how much
 * @param prefill factor on the prefill rate
 * @param decode factor on the decode rate
 * @param mixing factor on the slowdown by mixing
 * @param transfer factor on the cache transfer rate
 * @param memory factor on cache memory
 * @param change factor on the time of a role change
 * @param lag factor on the lag of reports
 */
public record ParameterMove(
        String label,
        double prefill,
        double decode,
        double mixing,
        double transfer,
        double memory,
        double change,
        double lag) {
    private static final double LESS = 0.5;
    private static final double MORE = 1.5;

    /** Returns the move that moves nothing. */
    public static ParameterMove none() {
        return new ParameterMove("none", 1, 1, 1, 1, 1, 1, 1);
    }

    /** Returns each parameter moved by half either way, the others as they are. */
    public static List<ParameterMove> all() {
        List<ParameterMove> moves = new ArrayList<>();
        for (double factor : new double[] {LESS, MORE}) {
            moves.add(new ParameterMove("prefill-" + factor, factor, 1, 1, 1, 1, 1, 1));
            moves.add(new ParameterMove("decode-" + factor, 1, factor, 1, 1, 1, 1, 1));
            moves.add(new ParameterMove("mixing-" + factor, 1, 1, factor, 1, 1, 1, 1));
            moves.add(new ParameterMove("transfer-" + factor, 1, 1, 1, factor, 1, 1, 1));
            moves.add(new ParameterMove("memory-" + factor, 1, 1, 1, 1, factor, 1, 1));
            moves.add(new ParameterMove("change-" + factor, 1, 1, 1, 1, 1, factor, 1));
            moves.add(new ParameterMove("lag-" + factor, 1, 1, 1, 1, 1, 1, factor));
        }
        return moves;
    }

    /** Finds a move by its label. */
    public static Optional<ParameterMove> find(String label) {
        return all().stream().filter(move -> move.label().equals(label)).findFirst();
    }
}
