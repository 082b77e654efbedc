/** A run of a trace on a fleet under a policy. */
package org.aspenmoor.internal.bench.policy.run;
