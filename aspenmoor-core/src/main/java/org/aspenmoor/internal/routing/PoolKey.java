package org.aspenmoor.internal.routing;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * The common properties of the engines in one {@link EnginePool}.
 *
 * @param loaded the model or adapter in memory
 * @param role the role of the engines
 */
record PoolKey(String loaded, EngineRole role) {}
