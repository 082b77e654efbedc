package org.aspenmoor.internal.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Takes measurements at several sizes and fits a line through them. */
final class SlopeMeter {
    private static final int REPETITIONS = 5;
    private static final int COLLECTIONS = 3;
    private static final int MOST_COLLECTIONS = 50;
    private static final int WARM_UP_ROUNDS = 6;
    private static final double NANOSECONDS_OF_MICROSECOND = 1000;

    private final MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final List<Slope> slopes = new ArrayList<>();
    private Object held = this;

    /** Measures what stays on the heap for structures of each size. */
    void memory(SlopeName cost, List<Integer> sizes, IntFunction<Object> build) {
        List<SizePoint> points = new ArrayList<>();
        held = build.apply(sizes.getLast());
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            for (int size : sizes) {
                points.add(new SizePoint(size, bytesHeldBy(build, size)));
            }
        }
        slopes.add(new Slope(cost, "B", sizes, LinearFit.of(points)));
    }

    /** Measures the processor time of this thread for each number of repetitions of an operation. */
    void processor(SlopeName cost, List<Integer> sizes, IntFunction<Runnable> prepare) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            prepare.apply(sizes.getLast()).run();
        }
        List<SizePoint> points = new ArrayList<>();
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            for (int size : sizes) {
                Runnable work = prepare.apply(size);
                long before = threads.getCurrentThreadCpuTime();
                work.run();
                long spent = threads.getCurrentThreadCpuTime() - before;
                points.add(new SizePoint(size, spent / NANOSECONDS_OF_MICROSECOND));
            }
        }
        slopes.add(new Slope(cost, "µs", sizes, LinearFit.of(points)));
    }

    List<Slope> slopes() {
        return List.copyOf(slopes);
    }

    private double bytesHeldBy(IntFunction<Object> build, int size) {
        letGo();
        long before = used();
        held = build.apply(size);
        return used() - before;
    }

    /** Waits until the structure before is really gone; a dead slot of a stack frame may keep it for a while. */
    private void letGo() {
        WeakReference<Object> last = new WeakReference<>(held);
        held = null;
        for (int collection = 0; collection < MOST_COLLECTIONS && last.get() != null; collection++) {
            System.gc();
        }
    }

    private long used() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
