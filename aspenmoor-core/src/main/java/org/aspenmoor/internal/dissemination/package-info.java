/**
 * How an accepted document reaches every process: a few relays watch the store, updates travel down a shallow tree, and
 * digests repair what was lost. Nothing here does I/O; the objects belong to one thread each.
 */
package org.aspenmoor.internal.dissemination;
