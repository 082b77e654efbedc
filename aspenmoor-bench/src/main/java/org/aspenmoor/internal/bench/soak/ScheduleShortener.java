package org.aspenmoor.internal.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Looks for the fewest faults that still break a promise, by leaving out ever smaller parts of a schedule. */
final class ScheduleShortener {
    private final SoakRun run;
    private final int mostRuns;
    private int runs;

    ScheduleShortener(SoakRun run, int mostRuns) {
        this.run = run;
        this.mostRuns = mostRuns;
    }

    /** Returns the failed run again with the fewest faults found. */
    SoakResult shorten(SoakResult failed) {
        SoakResult shortest = failed;
        int part = Math.max(1, failed.drawn().size() / 2);
        while (runs < mostRuns) {
            SoakResult shorter = leaveOutParts(shortest, part);
            boolean improved = shorter.drawn().size() < shortest.drawn().size();
            shortest = shorter;
            if (part == 1 && !improved) {
                break;
            }
            part = Math.max(1, part / 2);
        }
        return shortest;
    }

    private SoakResult leaveOutParts(SoakResult failed, int part) {
        SoakResult shortest = failed;
        int from = 0;
        while (from < shortest.drawn().size() && runs < mostRuns) {
            List<DrawnFault> fewer = new ArrayList<>(shortest.drawn());
            fewer.subList(from, Math.min(from + part, fewer.size())).clear();
            Set<Integer> kept = new TreeSet<>();
            fewer.forEach(fault -> kept.add(fault.index()));
            runs++;
            SoakResult tried = run.run(failed.seed(), failed.steps(), kept::contains);
            if (tried.violation().isPresent()) {
                shortest = tried;
            } else {
                from += part;
            }
        }
        return shortest;
    }
}
