/** What one decision costs, measured with JMH. */
package org.aspenmoor.internal.bench.policy.jmh;
