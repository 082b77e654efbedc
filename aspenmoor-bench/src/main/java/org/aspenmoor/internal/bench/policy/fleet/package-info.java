/** Fleets: engines, their parameters and the team's request kinds. */
package org.aspenmoor.internal.bench.policy.fleet;
