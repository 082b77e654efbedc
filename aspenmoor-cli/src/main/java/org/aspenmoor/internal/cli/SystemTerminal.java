package org.aspenmoor.internal.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

/** Terminal that uses the standard streams, environment and clock of the process. */
final class SystemTerminal implements Terminal {
    private final BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));

    @Override
    public PrintStream out() {
        return System.out;
    }

    @Override
    public PrintStream error() {
        return System.err;
    }

    @Override
    public Optional<String> readLine() {
        try {
            return Optional.ofNullable(input.readLine());
        } catch (IOException closed) {
            return Optional.empty();
        }
    }

    @Override
    public Optional<String> environmentVariable(String name) {
        return Optional.ofNullable(System.getenv(name));
    }

    @Override
    public boolean pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
        return true;
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }
}
