package org.aspenmoor.internal.agent;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Creates an HTTP client for each call to the backend server.
 *
 * <p>A client reuses its connections. The rest of an answer that the backend server sent twice would be read as the
 * beginning of the next answer, and a failure would be passed on as a success.
 */
final class BackendClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final Executor threads;

    BackendClients(Executor threads) {
        this.threads = threads;
    }

    /** Returns a client for one call, to be shut down or closed once the call has been sent. */
    HttpClient forOneCall() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(threads)
                .build();
    }
}
