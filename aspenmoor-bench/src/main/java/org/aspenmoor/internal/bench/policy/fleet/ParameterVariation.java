package org.aspenmoor.internal.bench.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A variation of the parameters of fake engines, to test whether conclusions depend on them.
 *
 * @param label varied parameter and its factor, as used on the command line
 * @param prefillFactor factor on the prefill rate
 * @param decodeFactor factor on the decode rate
 * @param mixingFactor factor on the slowdown of prefill mixed with decode
 * @param transferFactor factor on the cache transfer rate
 * @param memoryFactor factor on cache memory
 * @param roleChangeFactor factor on the duration of a role change
 * @param reportLagFactor factor on the delay of load reports
 */
public record ParameterVariation(
        String label,
        double prefillFactor,
        double decodeFactor,
        double mixingFactor,
        double transferFactor,
        double memoryFactor,
        double roleChangeFactor,
        double reportLagFactor) {
    private static final double LOW_FACTOR = 0.5;
    private static final double HIGH_FACTOR = 1.5;

    /** Returns the variation that changes nothing. */
    public static ParameterVariation none() {
        return new ParameterVariation("none", 1, 1, 1, 1, 1, 1, 1);
    }

    /**
     * Returns one variation per parameter and direction: one parameter changed by half of its value, the others
     * unchanged.
     */
    public static List<ParameterVariation> all() {
        List<ParameterVariation> variations = new ArrayList<>();
        for (double factor : new double[] {LOW_FACTOR, HIGH_FACTOR}) {
            variations.add(new ParameterVariation("prefill-" + factor, factor, 1, 1, 1, 1, 1, 1));
            variations.add(new ParameterVariation("decode-" + factor, 1, factor, 1, 1, 1, 1, 1));
            variations.add(new ParameterVariation("mixing-" + factor, 1, 1, factor, 1, 1, 1, 1));
            variations.add(new ParameterVariation("transfer-" + factor, 1, 1, 1, factor, 1, 1, 1));
            variations.add(new ParameterVariation("memory-" + factor, 1, 1, 1, 1, factor, 1, 1));
            variations.add(new ParameterVariation("change-" + factor, 1, 1, 1, 1, 1, factor, 1));
            variations.add(new ParameterVariation("lag-" + factor, 1, 1, 1, 1, 1, 1, factor));
        }
        return variations;
    }

    /** Finds a variation by its label. */
    public static Optional<ParameterVariation> find(String label) {
        return all().stream()
                .filter(variation -> variation.label().equals(label))
                .findFirst();
    }
}
