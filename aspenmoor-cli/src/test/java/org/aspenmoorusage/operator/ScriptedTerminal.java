package org.aspenmoorusage.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.cli.Terminal;

/** A terminal whose operator types what the test says, and whose clock moves by the pauses alone. */
final class ScriptedTerminal implements Terminal {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
    private final PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    private final PrintStream errorStream = new PrintStream(error, true, StandardCharsets.UTF_8);
    private final Deque<String> typed = new ArrayDeque<>();
    private final Map<String, String> environment;
    private long nanoseconds;
    private int pausesLeft = Integer.MAX_VALUE;

    ScriptedTerminal(Map<String, String> environment) {
        this.environment = environment;
    }

    void type(String line) {
        typed.add(line);
    }

    void endAfterPauses(int count) {
        pausesLeft = count;
    }

    String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String errors() {
        return error.toString(StandardCharsets.UTF_8);
    }

    void clear() {
        out.reset();
        error.reset();
    }

    @Override
    public PrintStream out() {
        return outStream;
    }

    @Override
    public PrintStream error() {
        return errorStream;
    }

    @Override
    public Optional<String> readLine() {
        return Optional.ofNullable(typed.poll());
    }

    @Override
    public Optional<String> environment(String name) {
        return Optional.ofNullable(environment.get(name));
    }

    @Override
    public boolean pause(Duration duration) {
        nanoseconds += duration.toNanos();
        pausesLeft--;
        return pausesLeft >= 0;
    }

    @Override
    public long monotonicNanoseconds() {
        return nanoseconds;
    }
}
