package org.aspenmoor.internal.routing;

/** Says whether an engine may be given the request at all: its link is up, it has credit, it was not tried before. */
@FunctionalInterface
public interface CandidateFilter {
    /** Says whether the engine may be chosen. */
    boolean accepts(String engine);
}
