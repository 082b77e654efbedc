/** Replays the load of a day on a model of the engines, through the very classes that decide in an entry. */
package org.aspenmoor.internal.bench.replay;
