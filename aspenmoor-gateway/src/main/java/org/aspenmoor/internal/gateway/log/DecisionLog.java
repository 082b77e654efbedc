package org.aspenmoor.internal.gateway.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Writes decisions as JSON lines, asynchronously in a separate thread.
 *
 * <p>Logging never blocks on the output: a line is dropped and counted if the queue is full or the rate
 * limit is exceeded, and the count is added to the next line. Notable lines, such as failures, have a separate rate
 * limit, so that many routine lines do not displace them.
 */
public final class DecisionLog {
    /**
     * Maximum rate of routine lines: enough to follow single requests, at little cost compared with serving them.
     */
    private static final double ROUTINE_LINES_PER_SECOND = 40;

    /** Maximum rate of lines about refusals, failures and changes of known state. */
    private static final double NOTABLE_LINES_PER_SECOND = 200;

    private static final double BURST_SECONDS = 2;
    private static final int MAX_QUEUED_LINES = 1024;

    private final TimeSource time;
    private final String process;
    private final PrintStream out;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong reportedDropped = new AtomicLong();
    private final TokenBucket routine;
    private final TokenBucket notable;

    public DecisionLog(TimeSource time, String process, PrintStream out) {
        this.time = time;
        this.process = process;
        this.out = out;
        this.routine = new TokenBucket(time, ROUTINE_LINES_PER_SECOND, ROUTINE_LINES_PER_SECOND * BURST_SECONDS);
        this.notable = new TokenBucket(time, NOTABLE_LINES_PER_SECOND, NOTABLE_LINES_PER_SECOND * BURST_SECONDS);
    }

    /** Starts the writing thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("decision-log").start(this::writeAll);
    }

    /** Begins a line about a normal event. */
    public LogLine routine(String event) {
        return line(event, routine);
    }

    /** Begins a line about a refusal, a failure, or a change of the state known to this process. */
    public LogLine notable(String event) {
        return line(event, notable);
    }

    /** Writes the queued lines; called when the process stops. */
    public void flush() {
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            out.println(line);
        }
        out.flush();
    }

    /** Returns how many lines have been dropped since the start. */
    public long droppedLines() {
        return dropped.get();
    }

    private LogLine line(String event, TokenBucket bucket) {
        boolean granted;
        synchronized (bucket) {
            granted = bucket.tryAcquire();
        }
        if (!granted) {
            dropped.incrementAndGet();
            return new LogLine(null, this::enqueue);
        }
        LogLine line = new LogLine(JsonNodeFactory.instance.objectNode(), this::enqueue)
                .with("time", time.wallClockTime().toString())
                .with("process", process)
                .with("event", event);
        long droppedSoFar = dropped.get();
        if (droppedSoFar != reportedDropped.getAndSet(droppedSoFar)) {
            line.with("leftOut", droppedSoFar);
        }
        return line;
    }

    private void enqueue(String line) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                out.println(queue.take());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
