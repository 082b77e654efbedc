package org.aspenmoor.internal.planning;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Finds the split with the greatest value: exhaustively for a small fleet, otherwise by a local search that moves
 * groups of engines between roles, with decreasing group sizes, as long as the value increases.
 */
final class SplitSearch {
    private static final int MAX_ENGINES_EXHAUSTIVE = 16;
    private static final EngineRole[] ROLES = EngineRole.values();

    /** Finds the best split of a fleet for a value function. */
    @FunctionalInterface
    interface Finder {
        RoleSplit best(ToDoubleFunction<RoleSplit> value);
    }

    private final Predicate<RoleSplit> allowed;
    private final ToDoubleFunction<RoleSplit> value;

    SplitSearch(Predicate<RoleSplit> allowed, ToDoubleFunction<RoleSplit> value) {
        this.allowed = allowed;
        this.value = value;
    }

    RoleSplit best(RoleSplit current) {
        return current.total() <= MAX_ENGINES_EXHAUSTIVE ? searchExhaustively(current) : searchLocally(current);
    }

    private RoleSplit searchExhaustively(RoleSplit current) {
        RoleSplit best = current;
        double bestValue = value.applyAsDouble(current);
        int total = current.total();
        for (int prefill = 0; prefill <= total; prefill++) {
            for (int decode = 0; decode <= total - prefill; decode++) {
                RoleSplit split = new RoleSplit(prefill, decode, total - prefill - decode);
                if (!allowed.test(split)) {
                    continue;
                }
                double splitValue = value.applyAsDouble(split);
                if (splitValue > bestValue) {
                    best = split;
                    bestValue = splitValue;
                }
            }
        }
        return best;
    }

    private RoleSplit searchLocally(RoleSplit current) {
        RoleSplit best = current;
        double bestValue = value.applyAsDouble(current);
        for (int step = Integer.highestOneBit(current.total()); step >= 1; step /= 2) {
            boolean improved = true;
            while (improved) {
                improved = false;
                for (EngineRole from : ROLES) {
                    for (EngineRole to : ROLES) {
                        RoleSplit split = best.plus(from, -step).plus(to, step);
                        if (from == to || split.count(from) < 0 || !allowed.test(split)) {
                            continue;
                        }
                        double splitValue = value.applyAsDouble(split);
                        if (splitValue > bestValue) {
                            best = split;
                            bestValue = splitValue;
                            improved = true;
                        }
                    }
                }
            }
        }
        return best;
    }
}
