/**
 * Which software version began a stream. A caller whose stream has broken may take it up again at any entry, and only
 * the version that has written the beginning may write the rest. Entries tell a few others which version began a stream
 * as soon as several versions of its service serve, and ask each other when a caller takes up a stream that they do not
 * know. What has to outlive all entries is in the store: which versions each entry uses, and, while several serve, which
 * of them began each stream. Nothing here does input or output. Confined to one thread; times are in nanoseconds of the
 * monotonic clock.
 */
package org.aspenmoor.internal.serving.origin;
