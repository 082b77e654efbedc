package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * Properties that all backend servers of one service have in common.
 *
 * @param name the service's name
 * @param maxConnections how many connections one backend server accepts from all callers together
 * @param healthPath the path at which its servers answer at once with their load; empty if they have none
 * @param generation properties of its model engines; empty if the service runs no model
 */
public record ServiceTraits(
        String name, int maxConnections, Optional<String> healthPath, Optional<GenerationTraits> generation) {}
