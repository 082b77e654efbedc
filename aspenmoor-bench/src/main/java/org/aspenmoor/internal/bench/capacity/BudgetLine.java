package org.aspenmoor.internal.bench.capacity;

/**
 * One part of what a role costs.
 *
 * @param part what it is
 * @param memory bytes
 * @param processor microseconds a second
 * @param traffic bytes a second, sent and received, headers included
 * @param messages messages a second
 * @param mechanism what carries it
 * @param standing how far that is
 */
record BudgetLine(
        String part,
        Figure memory,
        Figure processor,
        Figure traffic,
        Figure messages,
        String mechanism,
        Standing standing) {
    private static final double MICROSECONDS_OF_PERCENT = 10_000;
    private static final double BYTES_OF_MEGABYTE = 1e6;

    static BudgetLine ofMemory(String part, Figure memory, String mechanism, Standing standing) {
        return new BudgetLine(part, memory, Figure.NONE, Figure.NONE, Figure.NONE, mechanism, standing);
    }

    static BudgetLine ofWork(
            String part, Figure processor, Figure traffic, Figure messages, String mechanism, Standing standing) {
        return new BudgetLine(part, Figure.NONE, processor, traffic, messages, mechanism, standing);
    }

    BudgetLine plus(BudgetLine other) {
        return new BudgetLine(
                part,
                memory.plus(other.memory),
                processor.plus(other.processor),
                traffic.plus(other.traffic),
                messages.plus(other.messages),
                mechanism,
                standing);
    }

    /** Writes the line as a row of a table. */
    String row() {
        return String.join(
                " | ",
                "| " + part,
                memory.times(1 / BYTES_OF_MEGABYTE).text("MB"),
                processor.times(1 / MICROSECONDS_OF_PERCENT).text("%"),
                traffic.text("B/s"),
                messages.text("/s"),
                mechanism,
                standing.text() + " |");
    }
}
