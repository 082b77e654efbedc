package org.aspenmoor.internal.bench.policy.report;

import java.nio.file.Path;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.chart.TimeCharts;
import org.aspenmoor.internal.bench.policy.run.TimelinePoint;

/** Plots the work mix, the roles and the goodput over time as three charts in a PNG file. */
public final class TimelinePlot {
    private TimelinePlot() {}

    /** Plots the work mix and the roles of the first policy, and the goodput of all policies. */
    public static void write(Path file, List<NamedResult> results) throws AspenmoorException {
        List<TimelinePoint> firstTimeline = results.getFirst().result().timeline();
        TimeCharts<TimelinePoint> charts = new TimeCharts<TimelinePoint>(TimelinePoint::seconds)
                .chart("share of prefill in arriving work")
                .line("prefill share", firstTimeline, TimelinePoint::prefillFraction)
                .chart("ready engines, " + results.getFirst().result().policy())
                .line("prefill", firstTimeline, TimelinePoint::prefillEngines)
                .line("decode", firstTimeline, TimelinePoint::decodeEngines)
                .line("whole", firstTimeline, TimelinePoint::wholeEngines)
                .chart("weighted goodput a second");
        results.forEach(result ->
                charts.line(result.result().policy(), result.result().timeline(), TimelinePoint::weightedGoodput));
        charts.write(file);
    }
}
