/** Tables and plots of the results of replayed days. */
package org.aspenmoor.internal.bench.replay.report;
