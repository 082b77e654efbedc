package org.aspenmoor.internal.gateway.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Writes decisions as JSON lines from a thread of its own.
 *
 * <p>Whoever decides never waits for the reader of the output: a line that finds the queue full, or that is beyond the
 * rate, is left out and counted, and the count is written with the next line. Lines about failures have a rate of their
 * own, so that a flood of ordinary ends does not hide them.
 */
public final class DecisionLog {
    /** Lines a second about what went well; enough to follow single requests, little beside their own cost. */
    private static final double USUAL_LINES_PER_SECOND = 40;

    /** Lines a second about refusals, failures and changes of belief. */
    private static final double NOTABLE_LINES_PER_SECOND = 200;

    private static final double BURST_SECONDS = 2;
    private static final int MOST_WAITING_LINES = 1024;

    private final TimeSource time;
    private final String process;
    private final PrintStream out;
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING_LINES);
    private final AtomicLong leftOut = new AtomicLong();
    private final AtomicLong toldLeftOut = new AtomicLong();
    private final TokenBucket usual;
    private final TokenBucket notable;

    public DecisionLog(TimeSource time, String process, PrintStream out) {
        this.time = time;
        this.process = process;
        this.out = out;
        this.usual = new TokenBucket(time, USUAL_LINES_PER_SECOND, USUAL_LINES_PER_SECOND * BURST_SECONDS);
        this.notable = new TokenBucket(time, NOTABLE_LINES_PER_SECOND, NOTABLE_LINES_PER_SECOND * BURST_SECONDS);
    }

    /** Starts the writing thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("decision-log").start(this::writeAll);
    }

    /** Begins a line about something that went as it should. */
    public LogLine usual(String event) {
        return line(event, usual);
    }

    /** Begins a line about a refusal, a failure, or a change of what the process believes. */
    public LogLine notable(String event) {
        return line(event, notable);
    }

    /** Writes what still waits, at the process's end. */
    public void flush() {
        for (String line = waiting.poll(); line != null; line = waiting.poll()) {
            out.println(line);
        }
        out.flush();
    }

    /** Returns how many lines were left out since the start; lines name it whenever it has grown. */
    public long leftOut() {
        return leftOut.get();
    }

    private LogLine line(String event, TokenBucket bucket) {
        boolean granted;
        synchronized (bucket) {
            granted = bucket.tryAcquire();
        }
        if (!granted) {
            leftOut.incrementAndGet();
            return new LogLine(null, this::offer);
        }
        LogLine line = new LogLine(JsonNodeFactory.instance.objectNode(), this::offer)
                .with("time", time.wallClockTime().toString())
                .with("process", process)
                .with("event", event);
        long missing = leftOut.get();
        if (missing != toldLeftOut.getAndSet(missing)) {
            line.with("leftOut", missing);
        }
        return line;
    }

    private void offer(String line) {
        if (!waiting.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                out.println(waiting.take());
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }
}
