package org.aspenmoor.internal.bench.chart;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.AspenmoorException;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Time series charts with a common time axis, one below the other in one PNG file.
 *
 * @param <P> type of a data point, with its time and values
 */
public final class TimeCharts<P> {
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 280;

    private final ToDoubleFunction<P> seconds;
    private final List<XYChart> charts = new ArrayList<>();

    /** Creates an empty column of charts, given the function that returns a point's time in seconds. */
    public TimeCharts(ToDoubleFunction<P> seconds) {
        this.seconds = seconds;
    }

    /** Adds a chart below the others. */
    public TimeCharts<P> chart(String title) {
        charts.add(new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .build());
        return this;
    }

    /** Adds a line to the chart added last. */
    public TimeCharts<P> line(String name, List<P> points, ToDoubleFunction<P> value) {
        List<Double> times = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        points.forEach(point -> {
            times.add(seconds.applyAsDouble(point));
            values.add(value.applyAsDouble(point));
        });
        charts.getLast().addSeries(name, times, values).setMarker(SeriesMarkers.NONE);
        return this;
    }

    /** Writes the charts to a file. */
    public void write(Path file) throws AspenmoorException {
        try {
            BitmapEncoder.saveBitmap(charts, charts.size(), 1, file.toString(), BitmapFormat.PNG);
        } catch (IOException exception) {
            throw new AspenmoorException(
                    "Could not write the plot: " + exception.getMessage() + ".",
                    file.toString(),
                    "Name a file in an existing directory that is writable.",
                    exception);
        }
    }
}
