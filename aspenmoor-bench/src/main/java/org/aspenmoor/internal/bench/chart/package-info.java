/** Time series charts for the reports of the benchmarks. */
package org.aspenmoor.internal.bench.chart;
