package org.aspenmoor.internal.finding;

/**
 * One mistake found by a check.
 *
 * @param location where the mistake is
 * @param problem what is wrong, in one sentence
 * @param remedy how to correct it
 */
public record Finding(SourceLocation location, String problem, String remedy) {
    @Override
    public String toString() {
        return location + ": " + problem + " " + remedy;
    }
}
