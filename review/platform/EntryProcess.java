import java.io.IOException;
import java.io.Writer;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** An entry of the project, started as a separate process with the command of the deploy file. */
final class EntryProcess implements AutoCloseable {
    private final Process process;
    private final int callers;
    private final int readiness;
    private final Process shell;
    private final Writer signals;

    private EntryProcess(Process process, int callers, int readiness) throws IOException {
        this.process = process;
        this.callers = callers;
        this.readiness = readiness;
        this.shell = new ProcessBuilder("bash")
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .start();
        this.signals = shell.outputWriter();
    }

    /** Starts an entry in the repository, the working directory, and waits until it is ready. */
    static EntryProcess start(Path folder, SiteBounds bounds, int storePort) throws IOException, InterruptedException {
        String name = "front-a-1";
        int[] ports = freePorts(4);
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(name, bounds, ports, storePort));
        List<String> command = new ArrayList<>(command());
        command.add("--settings");
        command.add(settings.toString());
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile())
                .start();
        EntryProcess entry = new EntryProcess(process, ports[0], ports[1]);
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        if (!entry.becomesReady()) {
            entry.close();
            throw new IOException("the entry did not become ready:\n" + Files.readString(folder.resolve(name + ".log")));
        }
        return entry;
    }

    int callersPort() {
        return callers;
    }

    boolean running() {
        return process.isAlive();
    }

    /** Sends a signal, such as STOP, CONT or TERM. */
    void signal(String name) throws IOException {
        signals.write("kill -" + name + " " + process.pid() + "\n");
        signals.flush();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        shell.destroyForcibly();
        process.onExit().join();
    }

    /** Returns the words of the line {@code run} in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("the deploy file has no line that starts with run");
    }

    /** The settings that deploy/entry.json has for the sites, with loopback addresses. */
    private static String settings(String name, SiteBounds bounds, int[] ports, int storePort) {
        return String.format(
                Locale.ROOT,
                """
                {
                  "process": "%s",
                  "dataCentre": "zone-a",
                  "callers": "127.0.0.1:%d",
                  "readiness": "127.0.0.1:%d",
                  "readinessPath": "/aspenmoor/readyz",
                  "administration": "127.0.0.1:%d",
                  "peers": "127.0.0.1:%d",
                  "store": "http://127.0.0.1:%d",
                  "silenceMilliseconds": %d,
                  "leavingMilliseconds": %d,
                  "configurationMilliseconds": %d,
                  "graceSeconds": %d,
                  "repeatRatio": 0.2,
                  "repeatSlack": %d,
                  "repeatWindowSeconds": 10,
                  "holderPauseMilliseconds": 3000
                }
                """,
                name,
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                storePort,
                bounds.contactMillis(),
                bounds.drainMillis(),
                bounds.configApplyMillis(),
                bounds.graceSeconds(),
                bounds.budgetSlack());
    }

    private boolean becomesReady() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until && process.isAlive()) {
            if (readyNow()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    private boolean readyNow() {
        try {
            URI uri = URI.create("http://127.0.0.1:" + readiness + "/aspenmoor/readyz");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
