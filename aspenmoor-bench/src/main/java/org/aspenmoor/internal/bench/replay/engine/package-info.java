/** A model of one engine: prompts in chunks, answers in batches, memory, transfers, changes of role. */
package org.aspenmoor.internal.bench.replay.engine;
