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

/** Terminal with scripted input and a manual clock that advances only during pauses. */
final class ScriptedTerminal implements Terminal {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
    private final PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    private final PrintStream errorStream = new PrintStream(error, true, StandardCharsets.UTF_8);
    private final Deque<String> inputLines = new ArrayDeque<>();
    private final Map<String, String> environment;
    private long nowNanos;
    private int pausesLeft = Integer.MAX_VALUE;

    ScriptedTerminal(Map<String, String> environment) {
        this.environment = environment;
    }

    void typeLine(String line) {
        inputLines.add(line);
    }

    void stopAfterPauses(int count) {
        pausesLeft = count;
    }

    String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String errorOutput() {
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
        return Optional.ofNullable(inputLines.poll());
    }

    @Override
    public Optional<String> environmentVariable(String name) {
        return Optional.ofNullable(environment.get(name));
    }

    @Override
    public boolean pause(Duration duration) {
        nowNanos += duration.toNanos();
        pausesLeft--;
        return pausesLeft >= 0;
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }
}
