package org.aspenmoor.internal.serving.origin;

/** What an entry knows of the origin of a stream. */
public sealed interface OriginKnowledge {
    /** Nothing. */
    record Unknown() implements OriginKnowledge {}

    /** What wrote its first event. */
    record Known(StreamOrigin origin) implements OriginKnowledge {}

    /** Two streams with different origins have the same key, so that it does not identify one. */
    record Contradictory() implements OriginKnowledge {}
}
