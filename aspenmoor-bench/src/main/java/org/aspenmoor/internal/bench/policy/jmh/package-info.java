/** JMH benchmarks of the cost of one planning or routing decision. */
package org.aspenmoor.internal.bench.policy.jmh;
