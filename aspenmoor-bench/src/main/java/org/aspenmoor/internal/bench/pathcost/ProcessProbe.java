package org.aspenmoor.internal.bench.pathcost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads resident memory and processor time of another process, as the operating system counts them. */
final class ProcessProbe {
    private static final String RESIDENT = "VmRSS:";
    private static final String PEAK = "VmHWM:";
    private static final double BYTES_OF_KIBIBYTE = 1024;
    private static final double BYTES_OF_MEGABYTE = 1e6;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final double TICKS_OF_SECOND = 100;

    private final String name;
    private final Path folder;

    ProcessProbe(String nameAndId) {
        String[] parts = nameAndId.split("=", 2);
        this.name = parts[0];
        this.folder = Path.of("/proc", parts[1]);
    }

    String name() {
        return name;
    }

    /** Returns the resident memory in millions of bytes. */
    double residentMegabytes() throws IOException {
        return statusMegabytes(RESIDENT);
    }

    /** Returns the most resident memory so far in millions of bytes. */
    double mostResidentMegabytes() throws IOException {
        return statusMegabytes(PEAK);
    }

    /** Returns the processor time so far in seconds. */
    double processorSeconds() throws IOException {
        String text = Files.readString(folder.resolve("stat"));
        String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) / TICKS_OF_SECOND;
    }

    private double statusMegabytes(String field) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("status"));
        return lines.stream()
                        .filter(line -> line.startsWith(field))
                        .mapToDouble(line -> Double.parseDouble(
                                line.substring(field.length()).replace("kB", "").trim()))
                        .findFirst()
                        .orElse(0)
                * BYTES_OF_KIBIBYTE
                / BYTES_OF_MEGABYTE;
    }
}
