package org.aspenmoor.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry, started with the command of the deploy file. */
final class EntryProcess implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    private static final int MAX_PORT_TRIES = 100;

    private final String name;
    private final Path repository;
    private final Path folder;
    private final String store;
    private final int callers = freePort();
    private final int readiness = freePort();
    private final int administration = freePort();
    private final int peers = freePort();
    private Process process;

    /**
     * Creates an entry that has not been started.
     *
     * @param folder where its settings and its log go
     */
    EntryProcess(String name, Path repository, Path folder, String store) throws IOException {
        this.name = name;
        this.repository = repository;
        this.folder = folder;
        this.store = store;
    }

    int callers() {
        return callers;
    }

    int administration() {
        return administration;
    }

    Process process() {
        return process;
    }

    void start() throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings().toPrettyString());
        Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.add("--settings");
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Waits until the entry says that it is ready. */
    void awaitReady(long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (ready()) {
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " is not ready after " + millis + " ms");
    }

    boolean ready() {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create(
                            "http://127.0.0.1:" + readiness + "/aspenmoor/readyz")
                    .toURL()
                    .openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            int status = call.getResponseCode();
            call.disconnect();
            return status == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** The settings that the template of the deploy file gives on a small site. */
    private ObjectNode settings() {
        ObjectNode settings = Json.object()
                .put("process", name)
                .put("dataCentre", "lima-a")
                .put("callers", "127.0.0.1:" + callers)
                .put("readiness", "127.0.0.1:" + readiness)
                .put("readinessPath", "/aspenmoor/readyz")
                .put("administration", "127.0.0.1:" + administration)
                .put("peers", "127.0.0.1:" + peers)
                .put("store", "http://" + store)
                .put("silenceMilliseconds", 3000)
                .put("leavingMilliseconds", 2000)
                .put("configurationMilliseconds", 2000)
                .put("graceSeconds", 8)
                .put("repeatRatio", 0.2)
                .put("repeatSlack", 108)
                .put("repeatWindowSeconds", 10)
                .put("holderPauseMilliseconds", 3000)
                .put("ownPromptShare", 0.42)
                .put("secondsPerMegapair", 0.000218);
        settings.putObject("engineSpeed")
                .put("prefillTokensPerSecond", 112000)
                .put("decodeStepSeconds", 0.00341)
                .put("decodeStepSecondsPerSequence", 0.000097)
                .put("mixingSlowdown", 0.25)
                .put("chunkTokens", 2048)
                .put("transferSeconds", 0.008)
                .put("transferTokensPerSecond", 2300000);
        return settings;
    }

    /** Returns a free port below those that the operating system gives to outgoing connections, which would take it. */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < MAX_PORT_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // Another one is tried.
            }
        }
        throw new IOException("no free port was found");
    }

    @Override
    public void close() {
        if (process == null || !process.isAlive()) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
