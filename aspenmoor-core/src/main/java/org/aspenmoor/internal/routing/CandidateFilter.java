package org.aspenmoor.internal.routing;

/** Decides whether a request may be sent to an engine, for example by its connection, credit and earlier attempts. */
@FunctionalInterface
public interface CandidateFilter {
    /** Returns whether the engine with this name may be chosen. */
    boolean accepts(String engine);
}
