package org.aspenmoor.internal.store.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.channels.UnresolvedAddressException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;

/**
 * Sends single calls to the store, each on a connection of its own, and distinguishes calls that were never sent from
 * calls whose response was lost. A call is sent at most once.
 */
final class StoreTransport {
    private static final String RETRY_LATER = "Retry later; nothing was written.";
    private static final String READ_FIRST =
            "Read the object before doing anything else; the write may have taken effect.";
    private static final String TIMED_OUT = "The store did not respond within the time limit.";
    private static final String INTERRUPTED = "The thread was interrupted while waiting for the store.";
    private static final int DEFAULT_PORT = 80;

    private final StoreSettings settings;
    private final StoreGeneration generation;

    StoreTransport(StoreSettings settings, StoreGeneration generation) {
        this.generation = generation;
        this.settings = settings;
    }

    StoreHttpResponse read(URI uri, Duration timeout) throws StoreException {
        return send(call(HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER), uri, false, timeout);
    }

    StoreHttpResponse write(String method, URI uri, String body) throws StoreException {
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        FullHttpRequest call = call(HttpMethod.valueOf(method), uri, content);
        call.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        call.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        return send(call, uri, true, settings.callTimeout());
    }

    /**
     * Opens a stream; returns as soon as the response headers have arrived. Each stream has a client of its own, since a
     * client reuses the connection of a stream that has ended.
     */
    HttpResponse<Flow.Publisher<List<ByteBuffer>>> openStream(URI uri) throws StoreException {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.connectTimeout())
                .sslContext(new UnencryptedContext())
                .build();
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        CompletableFuture<HttpResponse<Flow.Publisher<List<ByteBuffer>>>> pending =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofPublisher());
        client.shutdown();
        return await(pending, uri, false, settings.callTimeout());
    }

    private StoreHttpResponse send(FullHttpRequest call, URI uri, boolean isWrite, Duration timeout)
            throws StoreException {
        long start = System.nanoTime();
        try (SingleCallConnection connection = connect(uri, timeout)) {
            Duration remaining = timeout.minusNanos(System.nanoTime() - start);
            StoreAnswer answer = await(connection.send(call), uri, isWrite, remaining);
            Duration retryAfter = retryAfter(answer.header("Retry-After"));
            return new StoreHttpResponse(answer.status(), answer.body(), retryAfter, observe(answer));
        }
    }

    private SingleCallConnection connect(URI uri, Duration timeout) throws StoreUnavailableException {
        int port = uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort();
        Duration limit = timeout.compareTo(settings.connectTimeout()) < 0 ? timeout : settings.connectTimeout();
        try {
            return SingleCallConnection.open(new InetSocketAddress(uri.getHost(), port), limit);
        } catch (IOException failed) {
            throw unreachable(uri, failed);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw unreachable(uri, interrupted);
        }
    }

    private static FullHttpRequest call(HttpMethod method, URI uri, ByteBuf content) {
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        FullHttpRequest call =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri.getRawPath() + query, content);
        call.headers().set(HttpHeaderNames.HOST, uri.getRawAuthority());
        call.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return call;
    }

    private long observe(StoreAnswer answer) {
        String header = generation.header();
        return header.isEmpty() ? generation.current() : generation.observe(answer.header(header));
    }

    // The request timeout of the HTTP client covers only the response headers; a store that stalls within the body
    // would block the calling thread for ever. Waiting on the future limits the complete call.
    private static <T> T await(CompletableFuture<T> pending, URI uri, boolean isWrite, Duration timeout)
            throws StoreException {
        try {
            return pending.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException timedOut) {
            pending.cancel(true);
            throw responseLost(TIMED_OUT, uri, isWrite, timedOut);
        } catch (InterruptedException interrupted) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            throw responseLost(INTERRUPTED, uri, isWrite, interrupted);
        } catch (ExecutionException failed) {
            Throwable cause = failed.getCause();
            if (neverSent(cause)) {
                throw unreachable(uri, cause);
            }
            throw responseLost("The connection to the store was lost: " + cause.getMessage(), uri, isWrite, cause);
        }
    }

    private static boolean neverSent(Throwable cause) {
        for (Throwable link = cause; link != null; link = link.getCause()) {
            if (link instanceof ConnectException
                    || link instanceof HttpConnectTimeoutException
                    || link instanceof UnresolvedAddressException) {
                return true;
            }
        }
        return false;
    }

    private static StoreUnavailableException unreachable(URI uri, Throwable cause) {
        return new StoreUnavailableException("The store cannot be reached.", uri.toString(), RETRY_LATER, cause);
    }

    private static StoreException responseLost(String problem, URI uri, boolean isWrite, Throwable cause) {
        if (isWrite) {
            return new StoreOutcomeUnknownException(problem, uri.toString(), READ_FIRST, cause);
        }
        return new StoreUnavailableException(problem, uri.toString(), RETRY_LATER, cause);
    }

    /** Returns the wait that a response requests; zero if it requests none. */
    static Duration retryAfter(Optional<String> header) {
        try {
            return Duration.ofMillis(Math.max(0, Math.round(Double.parseDouble(header.orElse("0")) * 1000)));
        } catch (NumberFormatException notANumber) {
            return Duration.ZERO;
        }
    }
}
