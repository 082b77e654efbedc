import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients send a filing behind a status read on one connection, its body in parts, while the entry runs five times slower.
 */
final class PipelinedCase implements CaseRunner.Case {
    private static final int ROUNDS = 4;
    private static final int CLIENTS = 10;
    private static final int WARM_UP_REQUESTS = 200;
    private static final int PARTS = 6;
    private static final int PART_BYTES = 100;
    private static final int PART_INTERVAL_MILLIS = 120;
    private static final int MAX_PARTS_BEFORE_ANSWER = 3;

    /** The entry runs for a fifth of the time. */
    private static final int STOPPED_MILLIS = 80;

    private static final int RUNNING_MILLIS = 20;

    private final Random random = new Random(57);
    private final Map<String, byte[]> filed = new ConcurrentHashMap<>();
    private Record record;
    private boolean trouble;

    @Override
    public boolean broken(Record caseRecord, boolean withTrouble, Path folder)
            throws IOException, InterruptedException {
        record = caseRecord;
        trouble = withTrouble;
        try (StoreStandin store = new StoreStandin();
                EngineStandin engine = new EngineStandin(0, this::answer)) {
            store.put("config", "main", Deployment.configuration(2500));
            store.put("servers", "i-1", EngineStandin.registration(Deployment.SERVICE, engine.port(), "ready", 1));
            try (EntryProcess entry = EntryProcess.start(folder, SiteBounds.NORRVIK_SPAR, store.port())) {
                warmUp(entry);
                long startedAt = System.nanoTime();
                int changed = 0;
                int unanswered = 0;
                for (int round = 1; round <= ROUNDS; round++) {
                    List<Filing> filings = round(entry, round);
                    changed += (int) filings.stream().filter(this::changed).count();
                    unanswered += (int) filings.stream().filter(each -> !each.answered).count();
                }
                record.line("of " + ROUNDS * CLIENTS + " filings, an engine ran " + changed
                        + " with another body than the client's, and " + unanswered + " were not answered");
                if (unanswered > ROUNDS * CLIENTS / 2) {
                    throw new IOException("most filings were not answered");
                }
                record.line("the rounds took " + (System.nanoTime() - startedAt) / 1_000_000 + " ms");
                return changed > 0;
            }
        }
    }

    /** Sends single requests, since the first requests of a process take longer than the later ones. */
    private void warmUp(EntryProcess entry) throws IOException, InterruptedException {
        for (int request = 1; request <= WARM_UP_REQUESTS; request++) {
            Filing filing = new Filing(entry.callersPort(), "warm-up-" + request, 0);
            filing.sendAlone();
        }
    }

    /** Sends filings on several connections at once. */
    private List<Filing> round(EntryProcess entry, int round) throws IOException, InterruptedException {
        List<Filing> filings = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int client = 1; client <= CLIENTS; client++) {
            Filing filing = new Filing(entry.callersPort(), round + "-" + client, random.nextInt(PART_INTERVAL_MILLIS));
            filings.add(filing);
            threads.add(Thread.ofPlatform().start(filing::send));
        }
        while (threads.stream().anyMatch(Thread::isAlive)) {
            if (trouble) {
                entry.signal("STOP");
                Thread.sleep(STOPPED_MILLIS);
                entry.signal("CONT");
            }
            Thread.sleep(RUNNING_MILLIS);
        }
        filings.stream().filter(this::changed).forEach(each -> record.line("UNASKED " + each.filingId
                + ": the client sent " + summary(each.sent) + ", the engine ran " + summary(filed.get(each.filingId))));
        return filings;
    }

    private boolean changed(Filing filing) {
        byte[] ran = filed.get(filing.filingId);
        return ran != null && !Arrays.equals(ran, filing.sent);
    }

    private void answer(HttpRead.Head head, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        byte[] body = HttpRead.body(in, head);
        String id = head.header("Request-Id");
        if (head.firstLine().startsWith("POST")) {
            filed.put(id, body);
            record.line("engine: runs " + id + " with a body of " + body.length + " bytes");
        } else if (head.firstLine().contains(Deployment.STATUS_PATH)) {
            record.line("engine: runs " + id);
            // A quarter of an interval after a part: without trouble, the answer arrives long before the next part.
            Thread.sleep(random.nextInt(MAX_PARTS_BEFORE_ANSWER) * PART_INTERVAL_MILLIS + PART_INTERVAL_MILLIS / 4);
        }
        byte[] answer = EngineStandin.bytes("done " + id + "\n");
        out.write(EngineStandin.bytes(EngineStandin.answerHead(head, answer.length)));
        out.write(answer);
    }

    /** A status read and a filing behind it on one connection. */
    private final class Filing {
        private final int port;
        private final int delayMillis;
        private final String statusId;
        private final String filingId;
        private final byte[] sent = new byte[PARTS * PART_BYTES];
        private boolean answered;

        Filing(int port, String name, int delayMillis) {
            this.port = port;
            this.delayMillis = delayMillis;
            this.statusId = "status-" + name;
            this.filingId = "filing-" + name;
            for (int i = 0; i < sent.length; i++) {
                sent[i] = (byte) ('a' + i / PART_BYTES);
            }
        }

        void send() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(4000);
                OutputStream out = socket.getOutputStream();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Thread.sleep(delayMillis);
                out.write(EngineStandin.bytes(requestHead("GET", Deployment.STATUS_PATH, statusId, 0)));
                out.write(EngineStandin.bytes(requestHead("POST", Deployment.FILING_PATH, filingId, sent.length)));
                record.line("client: sends " + statusId + " and the head of " + filingId);
                for (int part = 0; part < PARTS; part++) {
                    Thread.sleep(PART_INTERVAL_MILLIS);
                    out.write(sent, part * PART_BYTES, PART_BYTES);
                }
                record.line("client: has sent " + filingId + " whole");
                readAnswer(in, statusId);
                answered = readAnswer(in, filingId);
            } catch (IOException | InterruptedException failure) {
                record.line("client: " + filingId + ": " + failure.getMessage());
            }
        }

        void sendAlone() throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(4000);
                OutputStream out = socket.getOutputStream();
                out.write(EngineStandin.bytes(requestHead("POST", Deployment.FILING_PATH, filingId, sent.length)));
                out.write(sent);
                readAnswer(new BufferedInputStream(socket.getInputStream()), filingId);
            }
        }

        private boolean readAnswer(InputStream in, String id) throws IOException {
            HttpRead.Head head = HttpRead.head(in);
            if (head == null) {
                record.line("client: the connection ended before the answer to " + id);
                return false;
            }
            String body = EntryProcess.text(HttpRead.body(in, head)).strip();
            record.line("client: gets " + head.firstLine() + " for " + id + ": " + body);
            return true;
        }
    }

    private static String requestHead(String method, String path, String id, int length) {
        String framing = length > 0 ? "Content-Length: " + length + "\r\n" : "";
        return method + " " + path + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 2501\r\n" + framing + "\r\n";
    }

    /** Returns the parts of a body, by their letters. */
    private static String summary(byte[] body) {
        StringBuilder parts = new StringBuilder();
        for (int i = 0; i < body.length; i += PART_BYTES) {
            parts.append((char) body[i]);
        }
        return parts + " (" + body.length + " bytes)";
    }
}
