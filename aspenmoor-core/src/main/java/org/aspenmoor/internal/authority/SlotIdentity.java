package org.aspenmoor.internal.authority;

import org.aspenmoor.internal.store.ObjectKey;

/**
 * Identifies an engine and the agent that gives orders to it.
 *
 * @param engine the name of the engine
 * @param owner the incarnation of the agent, which changes with each restart
 * @param recordKey the key of the engine record
 * @param planKey the key of the role plan that contains the engine
 * @param engineChecksFencingNumbers whether the engine itself refuses outdated fencing numbers
 */
public record SlotIdentity(
        String engine, String owner, ObjectKey recordKey, ObjectKey planKey, boolean engineChecksFencingNumbers) {}
