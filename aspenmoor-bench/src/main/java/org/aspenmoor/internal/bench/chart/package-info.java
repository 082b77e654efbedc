/** Charts over time, drawn for the reports of all benches. */
package org.aspenmoor.internal.bench.chart;
