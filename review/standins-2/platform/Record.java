package org.aspenmoor.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, written to the record of a case. */
final class Record {
    private final long start = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        lines.add(String.format(Locale.ROOT, "%9.3f %s", seconds(), line));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Adds a line that is also printed. */
    void result(String line) {
        add(line);
        System.out.println(line);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
