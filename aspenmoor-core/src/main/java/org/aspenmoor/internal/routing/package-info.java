/**
 * Request routing: chooses the engine, or the pair of prefill and decode engines, for each request. Nothing in this
 * package blocks or reads a clock; times are passed in, in nanoseconds on the monotonic clock.
 *
 * <p>The prefix cache of an engine consists of blocks of a fixed number of prompt tokens. Settings and wire messages
 * call a block a piece.
 */
package org.aspenmoor.internal.routing;
