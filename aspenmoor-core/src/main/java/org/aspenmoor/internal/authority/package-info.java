/**
 * Leases, fencing numbers, role plans and engine records, which ensure that only one process plans roles and only one
 * agent gives orders to an engine. The slot of an engine is the exclusive role of the agent that gives orders to it;
 * the slot term counts the agents that have had it.
 */
package org.aspenmoor.internal.authority;
