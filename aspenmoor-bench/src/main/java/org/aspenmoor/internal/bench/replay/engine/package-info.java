/** A simulated engine: chunked prefill, batched decode, cache memory, cache transfers and role changes. */
package org.aspenmoor.internal.bench.replay.engine;
