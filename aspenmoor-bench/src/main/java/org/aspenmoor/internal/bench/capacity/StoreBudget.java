package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/** Calls to the store at the planned size. */
final class StoreBudget {
    private static final int WATCHED_KINDS = 4;
    private static final double ORDERS_PER_ENGINE_AND_DAY = 12;
    private static final int WRITES_PER_ORDER = 2;
    private static final double SECONDS_OF_DAY = 86_400;
    private static final int RELAYS = Aim.DATA_CENTRES * DisseminationTrial.RELAYS;

    private StoreBudget() {}

    /** Returns the calls that do not depend on how many requests are not idempotent. */
    static List<StoreLine> lines() {
        double pools = (double) Aim.MODELS * Aim.DATA_CENTRES;
        double orders = Aim.ENGINES * ORDERS_PER_ENGINE_AND_DAY / SECONDS_OF_DAY;
        double starts = Aim.MEMBERSHIP_CHANGES_PER_SECOND;
        return List.of(
                new StoreLine(
                        "225 leases of pools, renewed each 3 s",
                        pools / RoleFigures.RENEWAL_SECONDS,
                        0,
                        "`PlanHolder`, lease and plan in one object",
                        Standing.EXISTS),
                new StoreLine(
                        "12 orders an engine and day, recorded before and after",
                        orders * WRITES_PER_ORDER,
                        orders,
                        "`OrderExecutor`; the right is never renewed",
                        Standing.EXISTS),
                new StoreLine("registration at each start", starts, starts, "`RegistrationDuty`", Standing.EXISTS),
                new StoreLine(
                        "3,100 accepted changes a day, with their history",
                        2 * Aim.CHANGES_PER_SECOND,
                        2 * Aim.CHANGES_PER_SECOND,
                        "conditional update, one history object",
                        Standing.EXISTS),
                new StoreLine(
                        "27 relays watch documents, plans, registrations and hosts",
                        0,
                        RELAYS * WATCHED_KINDS,
                        "`RelayChoice`; the exchange carries documents only so far",
                        Standing.PLANNED));
    }

    static List<String> rows() {
        List<String> rows = new ArrayList<>();
        rows.add("| calls | writes | reads and waiting watches | mechanism | standing |");
        rows.add("| --- | ---: | ---: | --- | --- |");
        lines().forEach(line -> rows.add(line.row()));
        double writes = lines().stream().mapToDouble(StoreLine::writes).sum();
        double reads = lines().stream().mapToDouble(StoreLine::reads).sum();
        rows.add("| **sum** | " + Figure.exact(writes).text("/s") + " | "
                + Figure.exact(reads).text("/s") + " | budget: 400 writes (for \"several hundred\"), 2,000 reads | |");
        double left = Aim.STORE_WRITES_PER_SECOND - writes;
        rows.add("| left for claims at two writes a call, none shared | "
                + Figure.exact(left).text("/s")
                + " | – | " + Figure.number(left / 2) + " non-idempotent calls a second, "
                + Figure.number(100 * left / 2 / Aim.REQUESTS_PER_SECOND) + "% of the peak | |");
        return rows;
    }
}
