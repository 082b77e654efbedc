/** Fleets: the engines, their parameters and the team's kinds. */
package org.aspenmoor.internal.bench.policy.fleet;
