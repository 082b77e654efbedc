package org.aspenmoor.internal.finding;

/**
 * One thing that is wrong.
 *
 * @param location where
 * @param problem what, in one sentence
 * @param remedy what to write instead
 */
public record Finding(SourceLocation location, String problem, String remedy) {
    @Override
    public String toString() {
        return location + ": " + problem + " " + remedy;
    }
}
