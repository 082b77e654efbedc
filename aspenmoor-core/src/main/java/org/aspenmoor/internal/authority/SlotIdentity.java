package org.aspenmoor.internal.authority;

import org.aspenmoor.internal.store.ObjectKey;

/**
 * Which engine an agent gives orders to, and as whom.
 *
 * @param engine the engine's name
 * @param owner the agent's incarnation; a restarted agent has another one
 * @param recordKey the engine's record
 * @param planKey the role plan that names the engine
 * @param engineChecksNumbers whether the engine itself refuses old fencing numbers
 */
public record SlotIdentity(
        String engine, String owner, ObjectKey recordKey, ObjectKey planKey, boolean engineChecksNumbers) {}
