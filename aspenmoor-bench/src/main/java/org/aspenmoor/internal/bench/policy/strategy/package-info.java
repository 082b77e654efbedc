/** The decisions under test and the baselines they are compared with. */
package org.aspenmoor.internal.bench.policy.strategy;
