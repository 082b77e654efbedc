package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;

/**
 * The state of a collection as one entry read it from the store.
 *
 * @param collection the collection
 * @param generation the generation of the store's history that it was read in
 * @param digest a digest of its content, without what changes with each heartbeat
 * @param age time since the call was sent whose response last showed the content
 */
public record CollectionObservation(ObservedCollection collection, long generation, long digest, Duration age) {}
