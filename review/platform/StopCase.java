import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;

/** A client reads an answer slowly while its entry is stopped and has most of the grace period left. */
final class StopCase implements CaseRunner.Case {
    private static final int ANSWER_BYTES = 7_000_000;
    private static final int SMALL_RECEIVE_BUFFER = 16_384;
    private static final int DEADLINE_MILLIS = 4109;
    private static final int TIMEOUT_MILLIS = 4100;
    private static final int STOP_AFTER_MILLIS = 200;

    /** The client reads slowly for this time, and the rest as fast as it can. */
    private static final int SLOW_MILLIS = 3300;

    private static final int SLOW_PART_BYTES = 4096;
    private static final int SLOW_PART_MILLIS = 20;

    private Record record;
    private boolean trouble;

    @Override
    public boolean broken(Record caseRecord, boolean withTrouble, Path folder)
            throws IOException, InterruptedException {
        record = caseRecord;
        trouble = withTrouble;
        try (StoreStandin store = new StoreStandin();
                EngineStandin engine = new EngineStandin(0, this::answer)) {
            store.put("config", "main", Deployment.configuration(TIMEOUT_MILLIS));
            store.put("servers", "i-1", EngineStandin.registration(Deployment.SERVICE, engine.port(), "ready", 1));
            try (EntryProcess entry = EntryProcess.start(folder, SiteBounds.ZTZS_TISK_GROWN, store.port())) {
                boolean whole = request(entry);
                record.line(whole ? "the client got the whole answer" : "LOST: the client got a part of the answer");
                return !whole;
            }
        }
    }

    private void answer(HttpRead.Head head, InputStream in, OutputStream out) throws IOException {
        HttpRead.body(in, head);
        if (!head.firstLine().startsWith("POST")) {
            out.write(EngineStandin.bytes(EngineStandin.answerHead(head, 0)));
            return;
        }
        String id = head.header("Request-Id");
        record.line("engine: runs " + id);
        out.write(EngineStandin.bytes(EngineStandin.answerHead(head, ANSWER_BYTES)));
        out.write(new byte[ANSWER_BYTES]);
        record.line("engine: has sent its whole answer to " + id);
    }

    /** Returns whether the client gets the whole answer. */
    private boolean request(EntryProcess entry) throws IOException, InterruptedException {
        String id = "filing-1";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
            socket.setSoTimeout(8000);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.callersPort()));
            socket.getOutputStream().write(EngineStandin.bytes("POST " + Deployment.FILING_PATH + id
                    + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                    + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\nfile"));
            record.line("client: has sent " + id);
            long sentAt = System.nanoTime();
            InputStream in = socket.getInputStream();
            HttpRead.Head head = HttpRead.head(in);
            record.line("client: gets " + head.firstLine() + ", Content-Length " + head.header("Content-Length"));
            int read = 0;
            boolean stopped = !trouble;
            byte[] part = new byte[65_536];
            while (read < ANSWER_BYTES) {
                long elapsed = (System.nanoTime() - sentAt) / 1_000_000;
                if (!stopped && elapsed >= STOP_AFTER_MILLIS) {
                    stopped = true;
                    entry.signal("TERM");
                    record.line("entry: SIGTERM; the client has read " + read + " bytes");
                }
                boolean slow = elapsed < SLOW_MILLIS;
                int count = in.read(part, 0, slow ? SLOW_PART_BYTES : part.length);
                if (count < 0) {
                    break;
                }
                read += count;
                if (slow) {
                    Thread.sleep(SLOW_PART_MILLIS);
                }
            }
            long elapsed = (System.nanoTime() - sentAt) / 1_000_000;
            record.line("client: the answer ended after " + read + " of " + ANSWER_BYTES + " bytes, " + elapsed
                    + " ms after the request");
            return read == ANSWER_BYTES;
        }
    }
}
