package org.aspenmoor.internal.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes tables between the markers of the capacity page and leaves everything else alone. */
final class CapacityPage {
    private final Path page;
    private String text;

    CapacityPage(Path page) throws IOException {
        this.page = page;
        this.text = Files.readString(page);
    }

    /** Replaces what stands between {@code <!-- NAME:begin -->} and {@code <!-- NAME:end -->}. */
    void put(String name, List<String> rows) {
        String begin = "<!-- " + name + ":begin -->";
        String end = "<!-- " + name + ":end -->";
        int from = text.indexOf(begin);
        int to = text.indexOf(end);
        if (from < 0 || to < from) {
            throw new IllegalStateException(page + " has no markers for " + name + "; add them and run again");
        }
        text = text.substring(0, from + begin.length()) + "\n" + String.join("\n", rows) + "\n" + text.substring(to);
    }

    void save() throws IOException {
        Files.writeString(page, text);
    }

    static List<String> slopeRows(List<Slope> slopes) {
        List<String> rows = new ArrayList<>();
        rows.add("| cost of one more | slope, 95% | r² | sizes |");
        rows.add("| --- | ---: | ---: | --- |");
        for (Slope slope : slopes) {
            rows.add("| " + slope.cost().text() + " | "
                    + Figure.slopeOf(slope).text(slope.unit()) + " | "
                    + String.format(Locale.ROOT, "%.4f", slope.fit().determination()) + " | " + slope.sizesText()
                    + " |");
        }
        return rows;
    }

    static List<String> sizeRows(Map<String, Integer> sizes) {
        List<String> rows = new ArrayList<>();
        rows.add("| frame | bytes |");
        rows.add("| --- | ---: |");
        sizes.forEach((frame, bytes) -> rows.add("| " + frame + " | " + Figure.number(bytes) + " |"));
        return rows;
    }

    static List<String> trialRows(Map<String, TrialResult> trials) {
        List<String> rows = new ArrayList<>();
        rows.add("| trial | changes | in force everywhere: median | most | equal again after the fault "
                + "| entry: mean, busiest | relay | agent | most in one second |");
        rows.add("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
        trials.forEach((name, result) -> rows.add(String.join(
                " | ",
                "| " + name,
                String.valueOf(result.changes()),
                Figure.exact(result.medianSeconds()).text("s"),
                Figure.exact(result.mostSeconds()).text("s"),
                Figure.exact(result.recoverySeconds()).text("s"),
                traffic(result.entry()),
                traffic(result.relay()),
                traffic(result.agent()),
                Figure.exact(result.mostInOneSecond()).text("B") + " |")));
        return rows;
    }

    private static String traffic(TrialTraffic traffic) {
        return Figure.number(traffic.meanBytes()) + ", "
                + Figure.exact(traffic.mostBytes()).text("B/s");
    }
}
