/** Tables and plots of replayed days. */
package org.aspenmoor.internal.bench.replay.report;
