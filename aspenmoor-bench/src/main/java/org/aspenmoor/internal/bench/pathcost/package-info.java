/** Measures what the path through entry and agent adds to calling an engine directly, side by side in one run. */
package org.aspenmoor.internal.bench.pathcost;
