/** The policy bench: drives the decision classes with small fakes of engines on a manual clock. */
package org.aspenmoor.internal.bench.policy;
