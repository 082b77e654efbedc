package org.aspenmoor.internal.routing;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * What the engines of one pool have in common.
 *
 * @param loaded the model or adapter in memory
 * @param role their role
 */
record PoolKey(String loaded, EngineRole role) {}
