package org.aspenmoor.internal.bench.capacity;

/**
 * Calls to the store of one kind.
 *
 * @param part what they are for
 * @param writes writes a second
 * @param reads reads a second, a waiting watch counted as one
 * @param mechanism what makes them
 * @param standing how far that is
 */
record StoreLine(String part, double writes, double reads, String mechanism, Standing standing) {
    String row() {
        return String.join(
                " | ",
                "| " + part,
                Figure.exact(writes).text("/s"),
                Figure.exact(reads).text("/s"),
                mechanism,
                standing.text() + " |");
    }
}
