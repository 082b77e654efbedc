/**
 * Distribution of accepted documents to every process: a few relays watch the store, updates are pushed along a shallow
 * tree, and comparisons of digests repair lost updates. The classes do no I/O, and each object is used by one thread.
 */
package org.aspenmoor.internal.dissemination;
