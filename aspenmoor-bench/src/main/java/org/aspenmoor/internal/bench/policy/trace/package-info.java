/** Request traces, read from files or generated from a seed. */
package org.aspenmoor.internal.bench.policy.trace;
