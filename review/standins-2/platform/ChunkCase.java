package org.aspenmoor.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Some callers send long bodies in chunks of a few bytes each, while others send little requests. */
final class ChunkCase {
    private static final long TIMEOUT_MILLIS = 3000;
    private static final long DEADLINE_MILLIS = 6000;
    private static final long UPLOAD_PATIENCE_MILLIS = 20_000;
    private static final double LATE_SECONDS = (TIMEOUT_MILLIS + 500) / 1000.0;
    private static final int MIN_LATE = 8;
    private static final int UPLOADS = 8;
    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int SMALL_CHUNK_BYTES = 32;
    private static final int USUAL_CHUNK_BYTES = 8000;
    private static final int CHUNKS_PER_WRITE = 250;

    private ChunkCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, ChunkCase::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (StoreStandin store = new StoreStandin()) {
            store.put("config", "main", Deployment.configuration(1, TIMEOUT_MILLIS));
            for (int number = 1; number <= 3; number++) {
                EngineStandin engine = new EngineStandin("e-" + number, Deployment.SERVICE, run.record());
                store.put("servers", engine.id(), engine.registration("ready"));
            }
            EntryProcess entry = run.entry("front-1", store);
            entry.start();
            entry.awaitReady(20_000);
            Thread.sleep(3000);
            run.record().result("before: " + Outcomes.summary(little(run, entry, "before", 100)));
            Outcomes uploads = new Outcomes();
            int chunkBytes = run.trouble() ? SMALL_CHUNK_BYTES : USUAL_CHUNK_BYTES;
            for (int number = 0; number < UPLOADS; number++) {
                String id = "upload" + number;
                uploads.send(() -> upload(run.record(), entry.callers(), id, chunkBytes));
            }
            Thread.sleep(5000);
            List<Caller.Outcome> during = little(run, entry, "during", 400);
            run.record().result("little requests from 5 s after the uploads began: " + Outcomes.summary(during));
            run.record().result("uploads: " + Outcomes.summary(uploads.all()));
            run.record().result("process alive " + entry.process().isAlive() + ", ready " + entry.ready());
            long atTimeout = during.stream()
                    .filter(outcome -> outcome.seconds() > TIMEOUT_MILLIS / 1000.0)
                    .count();
            long late = during.stream()
                    .filter(outcome -> outcome.seconds() > LATE_SECONDS)
                    .count();
            run.record().result("unanswered at timeout_ms: " + atTimeout + ", and half a second later: " + late);
            entry.close();
            return late < MIN_LATE || late * 2 <= atTimeout;
        }
    }

    private static List<Caller.Outcome> little(CaseRun run, EntryProcess entry, String prefix, int count)
            throws Exception {
        Outcomes outcomes = new Outcomes();
        for (int number = 0; number < count; number++) {
            String id = prefix + number;
            outcomes.send(() -> Caller.call(
                    run.record(),
                    entry.callers(),
                    "GET",
                    Deployment.SAFE + id,
                    id,
                    DEADLINE_MILLIS,
                    DEADLINE_MILLIS));
            Thread.sleep(25);
        }
        return outcomes.all();
    }

    private static Caller.Outcome upload(Record record, int port, String id, int chunkBytes) {
        double sentAt = record.seconds();
        record.add("caller sends " + id + ", " + UPLOAD_BYTES + " bytes in chunks of " + chunkBytes);
        String how;
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            send(socket.getOutputStream(), id, chunkBytes);
            socket.setSoTimeout((int) UPLOAD_PATIENCE_MILLIS);
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            how = answer == null ? "closed without an answer" : "answered";
            status = answer == null ? 0 : answer.status();
        } catch (SocketTimeoutException late) {
            how = "no answer";
        } catch (IOException failed) {
            how = "connection failed: " + failed.getMessage();
        }
        Caller.Outcome outcome = new Caller.Outcome(id, status, how, sentAt, record.seconds());
        record.add("caller of " + id + ": " + status + " " + how + " after " + Math.round(outcome.seconds() * 1000)
                + " ms");
        return outcome;
    }

    private static void send(OutputStream output, String id, int chunkBytes) throws IOException {
        String head = "POST " + Deployment.UNSAFE + id + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + UPLOAD_PATIENCE_MILLIS + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        byte[] data = new byte[chunkBytes];
        Arrays.fill(data, (byte) 'x');
        String chunk =
                Integer.toHexString(chunkBytes) + "\r\n" + new String(data, StandardCharsets.ISO_8859_1) + "\r\n";
        byte[] chunks = chunk.repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
        for (int left = UPLOAD_BYTES / chunkBytes; left > 0; left -= CHUNKS_PER_WRITE) {
            output.write(chunks, 0, Math.min(left, CHUNKS_PER_WRITE) * chunk.length());
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
