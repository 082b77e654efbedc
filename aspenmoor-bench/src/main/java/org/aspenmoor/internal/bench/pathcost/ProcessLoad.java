package org.aspenmoor.internal.bench.pathcost;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.aspenmoor.internal.bench.capacity.LinearFit;
import org.aspenmoor.internal.bench.capacity.SizePoint;

/** How one process's memory and processor time grow with the streams and tokens it carries. */
final class ProcessLoad {
    private static final double MICROSECONDS_OF_SECOND = 1e6;
    private static final double KILOBYTES_OF_MEGABYTE = 1000;

    private final ProcessProbe probe;
    private final List<SizePoint> memoryByStreams = new ArrayList<>();
    private final List<SizePoint> processorByTokens = new ArrayList<>();
    private double processorBefore;

    ProcessLoad(ProcessProbe probe) {
        this.probe = probe;
    }

    void begin() throws IOException {
        processorBefore = probe.processorSeconds();
    }

    void end(int streams, long tokens) throws IOException {
        double processor = (probe.processorSeconds() - processorBefore) * MICROSECONDS_OF_SECOND;
        processorByTokens.add(new SizePoint(tokens, processor));
        memoryByStreams.add(new SizePoint(streams, probe.mostResidentMegabytes() * KILOBYTES_OF_MEGABYTE));
    }

    void print() {
        LinearFit memory = LinearFit.of(memoryByStreams);
        LinearFit processor = LinearFit.of(processorByTokens);
        System.out.printf(
                Locale.ROOT,
                "| %s | %.1f ± %.1f KB resident for each more stream at once, r² %.3f "
                        + "| %.1f ± %.1f µs of processor time for each token, r² %.3f |%n",
                probe.name(),
                memory.slope(),
                memory.slopeUncertainty(),
                memory.determination(),
                processor.slope(),
                processor.slopeUncertainty(),
                processor.determination());
    }
}
