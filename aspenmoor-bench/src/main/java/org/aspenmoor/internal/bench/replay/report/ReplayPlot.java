package org.aspenmoor.internal.bench.replay.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.replay.run.DayPoint;
import org.aspenmoor.internal.bench.replay.run.DayResult;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws load, waits, roles and earned worth of one replayed day as a PNG. */
public final class ReplayPlot {
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 260;

    private ReplayPlot() {}

    /** Draws a day. */
    public static void write(Path file, DayResult day) throws AspenmoorException {
        XYChart load = chart(day.day() + ": callers a second");
        add(load, "asked", day.points(), DayPoint::asked);
        XYChart waiting = chart("requests that wait at entries");
        add(waiting, "waiting", day.points(), DayPoint::waiting);
        XYChart roles = chart("engines");
        add(roles, "prompts", day.points(), DayPoint::promptEngines);
        add(roles, "answers", day.points(), DayPoint::answerEngines);
        XYChart earned = chart("part of the worth that was earned");
        add(earned, "earned", day.points(), DayPoint::earned);
        try {
            BitmapEncoder.saveBitmap(List.of(load, waiting, roles, earned), 4, 1, file.toString(), BitmapFormat.PNG);
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

    private static void add(XYChart chart, String name, List<DayPoint> points, ToDoubleFunction<DayPoint> value) {
        List<Double> seconds = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        points.forEach(point -> {
            seconds.add((double) point.second());
            values.add(value.applyAsDouble(point));
        });
        chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }
}
