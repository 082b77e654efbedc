/** Benchmarks, the policy bench and the capacity measurements. */
package org.aspenmoor.internal.bench;
