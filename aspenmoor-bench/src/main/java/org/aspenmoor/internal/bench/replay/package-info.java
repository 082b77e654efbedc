/** Replays the load of a day on simulated engines, using the scheduling classes of the entries themselves. */
package org.aspenmoor.internal.bench.replay;
