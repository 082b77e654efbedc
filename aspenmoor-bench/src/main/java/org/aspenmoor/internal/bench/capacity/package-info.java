/** Measures how the cost of each part grows with size, fits a line, and works out the planned fleet from it. */
package org.aspenmoor.internal.bench.capacity;
