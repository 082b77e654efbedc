package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A store that answers a long write before it has read it. */
public class EarlyStoreAnswerTest {
    /** Larger than the buffers of a loopback connection, so that part of the write stays unsent. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

    /** More than the buffers hold: once so much has arrived, the caller has written, and so read, since the part was sent. */
    private static final int BYTES_UNTIL_PART_IS_READ = 24 * 1024 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final int RESETS = 20;
    private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

    private ServerSocket listener;
    private ExecutorService caller;

    @BeforeMethod
    public void start() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        caller = Executors.newSingleThreadExecutor();
    }

    @AfterMethod
    public void stop() throws IOException {
        listener.close();
        caller.close();
    }

    // Guards against a write that counts as applied, as a part of an answer without a length is taken for the answer
    // when the reset behind it is detected by a write.
    @Test
    public void should_throw_outcome_unknown_when_the_connection_is_reset_before_the_call_is_written()
            throws Exception {
        for (int reset = 0; reset < RESETS; reset++) {
            Future<StoreHttpResponse> response = caller.submit(longWrite());
            Socket connection = listener.accept();
            connection.getInputStream().read();
            connection.getOutputStream().write((HEAD_WITHOUT_LENGTH + "{").getBytes(StandardCharsets.UTF_8));
            connection.getInputStream().skipNBytes(BYTES_UNTIL_PART_IS_READ);
            connection.setSoLinger(true, 0);
            connection.close();

            assertThrows(StoreOutcomeUnknownException.class, () -> unwrap(response));
        }
    }

    // Guards against losing a whole answer, though part of the call has not been read.
    @Test
    public void should_return_the_answer_when_it_ends_before_the_call_is_written() throws Exception {
        Future<StoreHttpResponse> response = caller.submit(longWrite());
        try (Socket connection = listener.accept()) {
            connection.getInputStream().read();
            connection.getOutputStream().write((HEAD_WITHOUT_LENGTH + "{}").getBytes(StandardCharsets.UTF_8));
            connection.shutdownOutput();

            assertEquals(unwrap(response), new StoreHttpResponse(200, "{}", Duration.ZERO, 0));
        }
    }

    private Callable<StoreHttpResponse> longWrite() {
        URI address = URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/objects/own");
        String body = "x".repeat(LONG_BODY_BYTES);
        return () -> new StoreTransport(TestObjects.longTimeouts(), StoreGeneration.none()).write("PUT", address, body);
    }

    private static StoreHttpResponse unwrap(Future<StoreHttpResponse> response) throws Exception {
        try {
            return response.get();
        } catch (ExecutionException failed) {
            throw (Exception) failed.getCause();
        }
    }
}
