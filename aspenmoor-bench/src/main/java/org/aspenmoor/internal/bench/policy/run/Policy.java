package org.aspenmoor.internal.bench.policy.run;

import java.util.function.IntFunction;
import org.aspenmoor.internal.bench.policy.strategy.PlanningStrategy;
import org.aspenmoor.internal.bench.policy.strategy.RoutingStrategy;

/**
 * What a run is made with.
 *
 * @param name its name
 * @param planning how roles are planned
 * @param routing how each entry, by its number, routes
 */
public record Policy(String name, PlanningStrategy planning, IntFunction<RoutingStrategy> routing) {}
