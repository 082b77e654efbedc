package org.aspenmoor.internal.finding;

/**
 * One thing that is wrong.
 *
 * @param place where
 * @param problem what, in one sentence
 * @param remedy what to write instead
 */
public record Finding(Place place, String problem, String remedy) {
    @Override
    public String toString() {
        return place + ": " + problem + " " + remedy;
    }
}
