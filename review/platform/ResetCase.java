import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A server answers before it has read a long body; the answer has no length and ends with its connection. The server is
 * killed in the middle of the answer, and the operating system resets the connection, because part of the body is unread.
 */
final class ResetCase implements CaseRunner.Case {
    private static final int TRIALS = 3;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int ANSWER_PARTS = 10;
    private static final int PART_BYTES = 400;
    private static final int PART_INTERVAL_MILLIS = 150;
    private static final int SMALL_RECEIVE_BUFFER = 16_384;

    /** The server is killed after about half of its answer. */
    private static final int KILL_AFTER_MILLIS = 800;

    /** Three heartbeat intervals, after which the store removes the registration of a silent server. */
    private static final int SILENCE_MILLIS = 3600;

    private Record record;
    private boolean trouble;

    @Override
    public boolean broken(Record caseRecord, boolean withTrouble, Path folder)
            throws IOException, InterruptedException {
        record = caseRecord;
        trouble = withTrouble;
        try (StoreStandin store = new StoreStandin()) {
            store.put("config", "main", Deployment.configuration(6000));
            try (EntryProcess entry = EntryProcess.start(folder, SiteBounds.NORRVIK_SPAR, store.port())) {
                int broken = 0;
                for (int trial = 1; trial <= TRIALS; trial++) {
                    broken += trial(store, entry, trial) ? 1 : 0;
                }
                record.line("trials in which the rule was broken: " + broken + " of " + TRIALS);
                return broken > 0;
            }
        }
    }

    /** Returns whether a client got a success with a part of the server's body. */
    private boolean trial(StoreStandin store, EntryProcess entry, int trial) throws IOException, InterruptedException {
        int port = EntryProcess.freePorts(1)[0];
        String id = "i-" + trial;
        Process server = startServer(id, port);
        String requestId = "filing-" + trial;
        store.put("servers", id, EngineStandin.registration(Deployment.SERVICE, port, "ready", trial));
        Thread.sleep(1500);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callersPort())) {
            socket.setSoTimeout(8000);
            OutputStream out = socket.getOutputStream();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            out.write(EngineStandin.bytes("POST " + Deployment.FILING_PATH + requestId + " HTTP/1.1\r\nHost: "
                    + Deployment.HOST + "\r\nRequest-Id: " + requestId + "\r\nDeadline-Ms: 6000\r\nContent-Length: "
                    + REQUEST_BYTES + "\r\n\r\n"));
            out.write(new byte[REQUEST_BYTES]);
            record.line("client: has sent " + requestId + " with a body of " + REQUEST_BYTES + " bytes");
            if (trouble) {
                Thread.sleep(KILL_AFTER_MILLIS);
                server.destroyForcibly().waitFor();
                record.line("server " + id + ": killed");
            }
            return readAnswer(in, requestId);
        } finally {
            Thread.sleep(SILENCE_MILLIS);
            store.remove("servers", id);
            server.destroyForcibly().waitFor();
        }
    }

    private boolean readAnswer(InputStream in, String requestId) throws IOException {
        int whole = ANSWER_PARTS * PART_BYTES;
        HttpRead.Head head = HttpRead.head(in);
        if (head == null) {
            record.line("client: the connection ended without an answer");
            return false;
        }
        try {
            byte[] body = HttpRead.body(in, head);
            boolean success = head.status() / 100 == 2;
            if (!success && !trouble) {
                throw new IllegalStateException("without the disruption the client got " + head.firstLine());
            }
            boolean broken = success && body.length != whole;
            record.line("client: gets " + head.firstLine() + ", Content-Length " + head.header("Content-Length")
                    + ", complete with " + body.length + " bytes"
                    + (success ? " of the " + whole + " of the server's body" : "") + (broken ? "  MIXED" : ""));
            return broken;
        } catch (IOException cutOff) {
            record.line("client: gets " + head.firstLine() + ", which breaks off: " + cutOff.getMessage());
            return false;
        }
    }

    private Process startServer(String id, int port) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "ResetCase$Server",
                        Integer.toString(port))
                .redirectErrorStream(true)
                .start();
        Thread.ofPlatform().daemon().start(() -> process.inputReader().lines().forEach(
                line -> record.line("server " + id + ": " + line)));
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        for (int attempt = 0; attempt < 100 && process.isAlive(); attempt++) {
            try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return process;
            } catch (IOException notYet) {
                Thread.sleep(50);
            }
        }
        throw new IOException("a server did not start");
    }

    /** The server, a process of its own. */
    static final class Server {
        private Server() {}

        public static void main(String[] arguments) throws IOException {
            try (ServerSocket listener = new ServerSocket()) {
                listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
                listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0])));
                while (true) {
                    Socket socket = listener.accept();
                    Thread.ofPlatform().start(() -> serve(socket));
                }
            }
        }

        /** Answers while it has read only the head, then reads the body, and closes the connection. */
        private static void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
                OutputStream out = socket.getOutputStream();
                HttpRead.Head head = HttpRead.head(in);
                if (head == null) {
                    return;
                }
                if (!head.firstLine().startsWith("POST")) {
                    out.write(EngineStandin.bytes(EngineStandin.answerHead(head, 0)));
                    return;
                }
                String id = head.header("Request-Id");
                System.out.println("runs " + id + ", has read its head, and answers");
                out.write(EngineStandin.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                        + "\r\nResponse-Stamp: 3e1b.07.5a2.600.0." + id + "\r\nConnection: close\r\n\r\n"));
                for (int part = 0; part < ANSWER_PARTS; part++) {
                    out.write(new byte[PART_BYTES]);
                    TimeUnit.MILLISECONDS.sleep(PART_INTERVAL_MILLIS);
                }
                System.out.println("has sent its whole answer to " + id);
                HttpRead.body(in, head);
                System.out.println("has read the whole body of " + id);
            } catch (IOException | InterruptedException ended) {
                // The entry has closed the connection.
            }
        }
    }
}
