package org.aspenmoor.internal.bench.capacity;

/** What control costs each role at the planned size, with the mechanisms that the page names. */
final class ControlBudgets {
    /** What the state of a paced report may cost: one report on each link in this time. */
    private static final double REPORT_SECONDS = 30;

    private static final double COUNT_SECONDS = 20;
    private static final int INDEXED_PIECES = 65_536;
    private static final int PLAN_POOLS = Aim.MODELS;

    private final Measurements measured;

    ControlBudgets(Measurements measured) {
        this.measured = measured;
    }

    BudgetTable entry() {
        BudgetTable table = new BudgetTable();
        addEntryMemory(table, measured.links().documentLinksPerEntry());
        addDocuments(table, measured.healthy().entry(), true);
        addReports(table, measured.links().agentsPerEntry(), true);
        addViewChanges(table);
        addCounts(table, 1.0 / COUNT_SECONDS, "sent");
        return table;
    }

    BudgetTable planner() {
        BudgetTable table = entry();
        double countFrames = Aim.ENTRIES_PER_DATA_CENTRE / COUNT_SECONDS;
        addCounts(table, countFrames, "received from every entry of the data centre");
        table.add(BudgetLine.ofWork(
                "lease renewed for one pool",
                Figure.NONE,
                Figure.exact((planBytes() + 2 * DisseminationTrial.BYTES_AROUND_A_FRAME) / RoleFigures.RENEWAL_SECONDS),
                Figure.exact(2 / RoleFigures.RENEWAL_SECONDS),
                "`PlanHolder`, one object per pool and data centre",
                Standing.PLANNED));
        return table;
    }

    BudgetTable relay() {
        BudgetTable table = new BudgetTable();
        addEntryMemory(table, measured.links().documentLinksPerRelay());
        addDocuments(table, measured.healthy().relay(), true);
        addReports(table, measured.links().agentsPerEntry(), true);
        addViewChanges(table);
        addCounts(table, 1.0 / COUNT_SECONDS, "sent");
        Figure watched = Figure.exact(Aim.CHANGES_PER_SECOND
                * (Samples.knownDocument(1, 1).content().length() + DisseminationTrial.BYTES_AROUND_A_FRAME));
        table.add(BudgetLine.ofWork(
                "store watch of documents",
                measured.slope(SlopeName.PARSE_DOCUMENT).times(Aim.CHANGES_PER_SECOND),
                watched,
                Figure.exact(Aim.CHANGES_PER_SECOND),
                "`WatchedCollection` on the entries that `RelayChoice` picks",
                Standing.EXISTS));
        return table;
    }

    BudgetTable agent() {
        BudgetTable table = new BudgetTable();
        table.add(bareProcess(RoleFigures.AGENT_RESIDENT_BYTES));
        table.add(documentsHeld());
        table.add(BudgetLine.ofMemory(
                "links to " + Figure.number(measured.links().entriesPerAgent()) + " entries",
                measured.slope(SlopeName.HEAP_PER_LINK).times(measured.links().entriesPerAgent() / 2),
                "`LinkNetwork`, `SubsetChoice`",
                Standing.MEASURED));
        addDocuments(table, measured.healthy().agent(), false);
        addReports(table, measured.links().entriesPerAgent(), false);
        return table;
    }

    private void addEntryMemory(BudgetTable table, double documentLinks) {
        double agents = measured.links().agentsPerEntry();
        table.add(bareProcess(RoleFigures.ENTRY_RESIDENT_BYTES));
        table.add(documentsHeld());
        table.add(BudgetLine.ofMemory(
                "3,500 documents parsed",
                measured.slope(SlopeName.HEAP_PER_PARSED_DOCUMENT).times(Aim.TEAMS),
                "`DocumentReader`",
                Standing.MEASURED));
        table.add(BudgetLine.ofMemory(
                "links to " + Figure.number(agents) + " agents and " + Figure.number(documentLinks) + " entries",
                measured.slope(SlopeName.HEAP_PER_LINK).times((agents + documentLinks) / 2),
                "`LinkNetwork`, `SubsetChoice`, `DisseminationTree`",
                Standing.MEASURED));
        table.add(BudgetLine.ofMemory(
                "views of " + Figure.number(agents) + " engines",
                measured.slope(SlopeName.HEAP_PER_ENGINE_VIEW).times(agents),
                "`Router`",
                Standing.MEASURED));
        table.add(BudgetLine.ofMemory(
                "prefix index of 65,536 pieces",
                measured.slope(SlopeName.HEAP_PER_INDEXED_PIECE).times(INDEXED_PIECES),
                "`PrefixIndex`",
                Standing.MEASURED));
    }

    private static BudgetLine bareProcess(double bytes) {
        return BudgetLine.ofMemory(
                "the idle process, resident, without documents",
                Figure.exact(bytes),
                "Java runtime, Ratpack, Netty; `bin/path-cost`",
                Standing.MEASURED);
    }

    private BudgetLine documentsHeld() {
        return BudgetLine.ofMemory(
                "3,500 documents held",
                measured.slope(SlopeName.HEAP_PER_DOCUMENT).times(Aim.TEAMS),
                "`RevisionTable`",
                Standing.MEASURED);
    }

    private void addDocuments(BudgetTable table, TrialTraffic traffic, boolean parses) {
        Figure apply = measured.slope(SlopeName.APPLY_DOCUMENT).times(Aim.CHANGES_PER_SECOND);
        Figure parse = measured.slope(SlopeName.PARSE_DOCUMENT).times(parses ? Aim.CHANGES_PER_SECOND : 0);
        Figure compare = measured.slope(SlopeName.COMPARE_EQUAL).times(traffic.meanMessages() / 2);
        table.add(BudgetLine.ofWork(
                "documents pushed and compared; the busiest has " + Figure.number(traffic.mostBytes()) + " B/s",
                apply.plus(parse).plus(compare),
                Figure.exact(traffic.meanBytes()),
                Figure.exact(traffic.meanMessages()),
                "`DocumentExchange` over `DisseminationTree`",
                Standing.MEASURED));
    }

    private void addReports(BudgetTable table, double links, boolean receives) {
        double rate = links / REPORT_SECONDS;
        Figure work =
                receives ? measured.slope(SlopeName.DECODE_LOAD_REPORT) : measured.slope(SlopeName.ENCODE_LOAD_REPORT);
        table.add(BudgetLine.ofWork(
                "load reports, one on each link in 30 s",
                work.times(rate),
                Figure.exact(rate * (MessageSizes.loadReport() + DisseminationTrial.BYTES_AROUND_A_FRAME)),
                Figure.exact(rate),
                "`LoadReports` paced, load on `Last` frames between reports",
                Standing.PLANNED));
    }

    private void addViewChanges(BudgetTable table) {
        Figure tree = measured.slope(SlopeName.VIEW_CHANGE).times(Aim.ENTRIES_PER_DATA_CENTRE);
        Figure subset =
                measured.slope(SlopeName.SUBSET_CHANGE).times((double) Aim.ENTRIES_PER_DATA_CENTRE * Aim.MODELS);
        table.add(BudgetLine.ofWork(
                "35 + 410 changes of the live view a day",
                tree.plus(subset).times(Aim.MEMBERSHIP_CHANGES_PER_SECOND),
                Figure.NONE,
                Figure.exact(Aim.MEMBERSHIP_CHANGES_PER_SECOND),
                "`SubsetChoice`, `DisseminationTree`; the view itself by relays",
                Standing.PLANNED));
    }

    private void addCounts(BudgetTable table, double frames, String direction) {
        double bytes = frames * (MessageSizes.requestCounts() * PLAN_POOLS + DisseminationTrial.BYTES_AROUND_A_FRAME);
        double onePool = frames * (MessageSizes.requestCounts() + DisseminationTrial.BYTES_AROUND_A_FRAME);
        boolean sent = direction.equals("sent");
        table.add(BudgetLine.ofWork(
                "request counts " + direction + ", each 20 s",
                Figure.NONE,
                Figure.exact(sent ? bytes : onePool),
                Figure.exact(sent ? frames * PLAN_POOLS : frames),
                "`RequestCounts` per pool of engines, not per service",
                Standing.PLANNED));
    }

    private static double planBytes() {
        return Aim.AGENTS_PER_GROUP * RoleFigures.PLAN_BYTES_PER_ENGINE;
    }
}
