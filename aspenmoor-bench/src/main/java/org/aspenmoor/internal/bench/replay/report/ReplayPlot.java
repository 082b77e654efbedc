package org.aspenmoor.internal.bench.replay.report;

import java.nio.file.Path;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.chart.TimeCharts;
import org.aspenmoor.internal.bench.replay.run.DayPoint;
import org.aspenmoor.internal.bench.replay.run.DayResult;

/** Plots load, queue length, roles and earned value of a replayed day as a PNG file. */
public final class ReplayPlot {
    private ReplayPlot() {}

    /** Writes the plot of one day. */
    public static void write(Path file, DayResult day) throws AspenmoorException {
        new TimeCharts<DayPoint>(DayPoint::second)
                .chart(day.day() + ": callers a second")
                .line("asked", day.points(), DayPoint::callers)
                .chart("requests that wait at entries")
                .line("waiting", day.points(), DayPoint::queuedRequests)
                .chart("engines")
                .line("prompts", day.points(), DayPoint::prefillEngines)
                .line("answers", day.points(), DayPoint::decodeEngines)
                .chart("part of the worth that was earned")
                .line("earned", day.points(), DayPoint::earnedFraction)
                .write(file);
    }
}
