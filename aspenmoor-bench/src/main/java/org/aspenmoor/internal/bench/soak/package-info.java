/**
 * A randomised run of the real decision classes against small fakes, on a manual clock, with the promises asserted after
 * every step.
 */
package org.aspenmoor.internal.bench.soak;
