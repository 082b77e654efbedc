package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/** What today's wiring would cost at the planned size where it breaks a budget, and what mends it. */
final class TodayBreaks {
    private static final int HEADERS = DisseminationTrial.BYTES_AROUND_A_FRAME;

    private final Measurements measured;

    TodayBreaks(Measurements measured) {
        this.measured = measured;
    }

    List<String> rows() {
        List<String> rows = new ArrayList<>();
        rows.add("| 🔴 over budget today | figure at the planned size | budget | what mends it | then |");
        rows.add("| --- | ---: | ---: | --- | ---: |");
        double probe = 2 * (MessageSizes.probe() + HEADERS) / RoleFigures.PROBE_SECONDS;
        double agents = measured.links().agentsPerEntry();
        rows.add(row(
                "each entry links to all 1,800 agents and probes each every second",
                Aim.ENGINES * probe,
                "link to the subset of `SubsetChoice`",
                agents * probe));
        rows.add(row(
                "probes on the links of a subset",
                agents * probe,
                "probe only a link with requests out that was silent for a second; a stream has a token each 35 ms",
                0));
        double report = (MessageSizes.loadReport() + HEADERS) / RoleFigures.STATUS_SECONDS;
        rows.add(row(
                "an entry's load reports, a busy engine reporting at each status of 250 ms",
                agents * report,
                "a report each 30 s and on changes of readiness, role or models; the load on `Last` frames between",
                agents * (MessageSizes.loadReport() + HEADERS) / 30));
        rows.add(row(
                "an agent's load reports to the entries of its subset",
                measured.links().entriesPerAgent() * report,
                "the same",
                measured.links().entriesPerAgent() * (MessageSizes.loadReport() + HEADERS) / 30));
        rows.add(row(
                "plan renewals seen by a watch of all plans: 75 a second, 8 engines each",
                Aim.MODELS
                        * Aim.DATA_CENTRES
                        / RoleFigures.RENEWAL_SECONDS
                        * (Aim.AGENTS_PER_GROUP * RoleFigures.PLAN_BYTES_PER_ENGINE + HEADERS),
                "watch the plans of one data centre only, leases of 30 s renewed each 10 s, and pass plans on by the exchange",
                Aim.MODELS / 10.0 * (Aim.AGENTS_PER_GROUP * RoleFigures.PLAN_BYTES_PER_ENGINE + HEADERS)));
        rows.add("| every entry and agent watches the store by itself | "
                + Figure.number(Aim.ENTRIES * RoleFigures.WATCHES_PER_ENTRY + Aim.ENGINES) + " watches | 2,000 | "
                + "only relays watch; the exchange carries plans, registrations and hosts as it carries documents | "
                + "108 watches |");
        return rows;
    }

    private static String row(String part, double bytes, String remedy, double after) {
        return "| " + part + " | " + Figure.number(bytes) + " B/s | 2,000 B/s | " + remedy + " | "
                + Figure.exact(after).text("B/s") + " |";
    }
}
