package org.aspenmoor.internal.store.client;

import java.net.ConnectException;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;

/**
 * Sends single calls to the store and distinguishes calls that were never sent from calls whose response was lost.
 *
 * <p>The JDK's HTTP client retries only GET requests on its own, so a write is sent at most once.
 */
final class StoreTransport {
    private static final String RETRY_LATER = "Retry later; nothing was written.";
    private static final String READ_FIRST =
            "Read the object before doing anything else; the write may have taken effect.";

    private final HttpClient client;
    private final StoreSettings settings;
    private final StoreGeneration generation;

    StoreTransport(StoreSettings settings, StoreGeneration generation) {
        this.generation = generation;
        this.settings = settings;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.connectTimeout())
                .sslContext(new UnencryptedContext())
                .build();
    }

    StoreHttpResponse read(URI uri, Duration timeout) throws StoreException {
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        return send(request, false, timeout);
    }

    StoreHttpResponse write(String method, URI uri, String body) throws StoreException {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .header("Content-Type", "application/json")
                .build();
        return send(request, true, settings.callTimeout());
    }

    /** Opens a stream; returns as soon as the response headers have arrived. */
    HttpResponse<Flow.Publisher<List<ByteBuffer>>> openStream(URI uri) throws StoreException {
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        return await(
                client.sendAsync(request, HttpResponse.BodyHandlers.ofPublisher()), uri, false, settings.callTimeout());
    }

    private StoreHttpResponse send(HttpRequest request, boolean isWrite, Duration timeout) throws StoreException {
        CompletableFuture<HttpResponse<String>> pending =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        HttpResponse<String> response = await(pending, request.uri(), isWrite, timeout);
        return new StoreHttpResponse(response.statusCode(), response.body(), retryAfter(response), observe(response));
    }

    private long observe(HttpResponse<?> response) {
        String header = generation.header();
        return header.isEmpty()
                ? generation.current()
                : generation.observe(response.headers().firstValue(header));
    }

    // The request timeout of the HTTP client covers only the response headers; a store that stalls within the body
    // would block the calling thread for ever. Waiting on the future limits the complete call.
    private <T> T await(CompletableFuture<T> pending, URI uri, boolean isWrite, Duration timeout)
            throws StoreException {
        try {
            return pending.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException timedOut) {
            pending.cancel(true);
            throw responseLost("The store did not respond within the time limit.", uri, isWrite, timedOut);
        } catch (InterruptedException interrupted) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            throw responseLost("The thread was interrupted while waiting for the store.", uri, isWrite, interrupted);
        } catch (ExecutionException failed) {
            Throwable cause = failed.getCause();
            if (neverSent(cause)) {
                throw new StoreUnavailableException("The store cannot be reached.", uri.toString(), RETRY_LATER, cause);
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

    private static StoreException responseLost(String problem, URI uri, boolean isWrite, Throwable cause) {
        if (isWrite) {
            return new StoreOutcomeUnknownException(problem, uri.toString(), READ_FIRST, cause);
        }
        return new StoreUnavailableException(problem, uri.toString(), RETRY_LATER, cause);
    }

    static Duration retryAfter(HttpResponse<?> response) {
        String text = response.headers().firstValue("Retry-After").orElse("0");
        try {
            return Duration.ofMillis(Math.max(0, Math.round(Double.parseDouble(text) * 1000)));
        } catch (NumberFormatException notANumber) {
            return Duration.ZERO;
        }
    }
}
