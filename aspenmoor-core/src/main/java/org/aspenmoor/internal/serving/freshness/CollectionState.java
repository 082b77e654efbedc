package org.aspenmoor.internal.serving.freshness;

/**
 * The state of a collection.
 *
 * @param generation the generation of the store's history
 * @param digest a digest of the content
 */
public record CollectionState(long generation, long digest) {}
