package org.aspenmoor.internal.bench.policy.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.policy.run.TimelinePoint;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws mix, roles and goodput over time as one PNG: a chart for the mix, one for the roles, one for the goodput. */
public final class TimelinePlot {
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 300;

    private TimelinePlot() {}

    /** Draws the first policy's mix and roles, and the goodput of all policies. */
    public static void write(Path file, List<NamedResult> results) throws AspenmoorException {
        List<TimelinePoint> first = results.getFirst().result().timeline();
        XYChart mix = chart("share of prefill in arriving work");
        add(mix, "prefill share", first, TimelinePoint::promptShare);
        XYChart roles = chart("ready engines, " + results.getFirst().result().policy());
        add(roles, "prefill", first, TimelinePoint::prefillEngines);
        add(roles, "decode", first, TimelinePoint::decodeEngines);
        add(roles, "whole", first, TimelinePoint::wholeEngines);
        XYChart goodput = chart("weighted goodput a second");
        results.forEach(result ->
                add(goodput, result.result().policy(), result.result().timeline(), TimelinePoint::weightedGoodput));
        try {
            BitmapEncoder.saveBitmap(List.of(mix, roles, goodput), 3, 1, file.toString(), BitmapFormat.PNG);
        } catch (IOException unwritable) {
            throw new AspenmoorException(
                    "The plot could not be written: " + unwritable.getMessage() + ".",
                    file.toString(),
                    "Name a file in a folder that exists and can be written.",
                    unwritable);
        }
    }

    private static XYChart chart(String title) {
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .build();
    }

    private static void add(
            XYChart chart, String name, List<TimelinePoint> points, ToDoubleFunction<TimelinePoint> value) {
        List<Double> seconds = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        points.forEach(point -> {
            seconds.add(point.seconds());
            values.add(value.applyAsDouble(point));
        });
        chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }
}
