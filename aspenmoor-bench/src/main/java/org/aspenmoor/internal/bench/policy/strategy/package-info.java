/** Planning and routing strategies: those of aspenmoor and the baselines they are compared with. */
package org.aspenmoor.internal.bench.policy.strategy;
