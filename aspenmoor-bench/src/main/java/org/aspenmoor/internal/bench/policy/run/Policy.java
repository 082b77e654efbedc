package org.aspenmoor.internal.bench.policy.run;

import java.util.function.IntFunction;
import org.aspenmoor.internal.bench.policy.strategy.PlanningStrategy;
import org.aspenmoor.internal.bench.policy.strategy.RoutingStrategy;

/**
 * A policy: planning and routing strategies.
 *
 * @param name name of the policy
 * @param planning strategy that plans roles
 * @param routing returns the routing strategy of an entry, given the index of the entry
 */
public record Policy(String name, PlanningStrategy planning, IntFunction<RoutingStrategy> routing) {}
