package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * What all backend servers of one service have in common.
 *
 * @param name the service's name
 * @param mostConnections how many connections one backend server accepts from all callers together
 * @param generation what its model engines can do; empty where the service runs no model
 */
public record ServiceTraits(String name, int maxConnections, Optional<GenerationTraits> generation) {}
