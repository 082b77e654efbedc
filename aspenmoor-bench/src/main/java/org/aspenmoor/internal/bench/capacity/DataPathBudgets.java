package org.aspenmoor.internal.bench.capacity;

/** What answering callers costs; it is no part of the control budget. */
final class DataPathBudgets {
    private static final int CREDIT_CHUNKS = 32;
    private static final double TEAMS_WAITING = (double) Aim.TEAMS / Aim.MODELS;
    private static final double ADMISSIONS = 1000;
    private static final int SEGMENTS_OF_DISPATCH = 6;
    private static final int HEADERS = DisseminationTrial.BYTES_AROUND_A_FRAME;

    private final Measurements measured;

    DataPathBudgets(Measurements measured) {
        this.measured = measured;
    }

    BudgetTable entry() {
        BudgetTable table = new BudgetTable();
        Figure chunk = measured.slope(SlopeName.DECODE_CHUNK).plus(measured.slope(SlopeName.ASSEMBLE_CHUNK));
        table.add(chunks(Aim.TOKENS_PER_ENTRY, chunk));
        table.add(dispatches(Aim.REQUESTS_PER_ENTRY, measured.slope(SlopeName.ENCODE_DISPATCH)));
        table.add(others(Aim.REQUESTS_PER_ENTRY, Aim.TOKENS_PER_ENTRY));
        table.add(BudgetLine.ofWork(
                "routing, and admission with 140 teams waiting in the pool's queue",
                measured.slope(SlopeName.ROUTE)
                        .plus(measured.slope(SlopeName.ADMIT_PER_TEAM).times(TEAMS_WAITING / ADMISSIONS))
                        .times(Aim.REQUESTS_PER_ENTRY),
                Figure.NONE,
                Figure.NONE,
                "`Router`, `AdmissionQueue`",
                Standing.MEASURED));
        table.add(BudgetLine.ofMemory(
                Figure.number(Aim.STREAMS_PER_ENTRY) + " answers in flight, without their HTTP connections",
                measured.slope(SlopeName.HEAP_PER_STREAM).times(Aim.STREAMS_PER_ENTRY),
                "`AnswerAssembly`, `Router`",
                Standing.MEASURED));
        return table;
    }

    BudgetTable agent() {
        BudgetTable table = new BudgetTable();
        table.add(chunks(Aim.TOKENS_PER_AGENT, measured.slope(SlopeName.ENCODE_CHUNK)));
        table.add(dispatches(Aim.REQUESTS_PER_AGENT, measured.slope(SlopeName.DECODE_DISPATCH)));
        table.add(others(Aim.REQUESTS_PER_AGENT, Aim.TOKENS_PER_AGENT));
        return table;
    }

    private static BudgetLine chunks(double tokens, Figure work) {
        return BudgetLine.ofWork(
                "a frame for each token",
                work.times(tokens),
                Figure.exact(tokens * (Samples.chunk(200).getSerializedSize() + HEADERS)),
                Figure.exact(tokens),
                "`Chunk`, `AnswerAssembly`; HTTP not included",
                Standing.MEASURED);
    }

    private static BudgetLine dispatches(double requests, Figure work) {
        return BudgetLine.ofWork(
                "dispatches of 8 KB prompts",
                work.times(requests),
                Figure.exact(requests * (Samples.dispatch().getSerializedSize() + SEGMENTS_OF_DISPATCH * HEADERS)),
                Figure.exact(requests),
                "`Dispatch`",
                Standing.MEASURED);
    }

    private static BudgetLine others(double requests, double tokens) {
        double bytes = requests
                        * (Samples.started().getSerializedSize()
                                + Samples.last().getSerializedSize()
                                + 2 * HEADERS)
                + tokens / CREDIT_CHUNKS * (Samples.credit().getSerializedSize() + HEADERS);
        return BudgetLine.ofWork(
                "start, end and credit",
                Figure.NONE,
                Figure.exact(bytes),
                Figure.exact(2 * requests + tokens / CREDIT_CHUNKS),
                "`Started`, `Last`, `Credit` each 32 chunks",
                Standing.EXISTS);
    }
}
