package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.OptionalLong;
import org.aspenmoor.AspenmoorException;

/** HTTP client for the administration API of one entry. Each call has a connection of its own. */
final class AdministrationClient {
    private static final String ROOT = "/admin/v1/";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final int MIN_ERROR_STATUS = 400;

    private final ObjectMapper mapper = new ObjectMapper();
    private final URI entryAddress;
    private final String token;

    AdministrationClient(URI entryAddress, String token) {
        this.entryAddress = entryAddress;
        this.token = token;
    }

    /** Sends a GET request and returns the JSON body of the answer. */
    JsonNode get(String path) throws AspenmoorException {
        return send(path, request(path).GET(), false);
    }

    /** Sends a POST request that changes nothing; if a base revision is given, the entry requires it to be current. */
    JsonNode postQuery(String path, OptionalLong baseRevision, String body) throws AspenmoorException {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        baseRevision.ifPresent(revision -> expectRevision(request, revision));
        return send(path, request, false);
    }

    /** Accepts a document, provided that the base revision is still the current one. */
    JsonNode put(String path, long baseRevision, String body) throws AspenmoorException {
        HttpRequest.Builder request = request(path).PUT(HttpRequest.BodyPublishers.ofString(body));
        return send(path, expectRevision(request, baseRevision), true);
    }

    /** Sends a change without a body, provided that the base revision is still the current one. */
    JsonNode postChange(String path, long baseRevision) throws AspenmoorException {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.noBody());
        return send(path, expectRevision(request, baseRevision), true);
    }

    private static HttpRequest.Builder expectRevision(HttpRequest.Builder request, long revision) {
        return request.header("If-Match", "\"" + revision + "\"");
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(entryAddress.resolve(ROOT + path))
                .timeout(ANSWER_TIMEOUT)
                .header("Authorization", "Bearer " + token);
    }

    private JsonNode send(String path, HttpRequest.Builder request, boolean isChange) throws AspenmoorException {
        try (HttpClient client = createClient()) {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode body = parse(response.body());
            if (response.statusCode() >= MIN_ERROR_STATUS) {
                throw new CallRefusedException(response.statusCode(), body, entryAddress + ROOT + path);
            }
            return body;
        } catch (ConnectException neverSent) {
            throw new EntryUnreachableException(entryAddress.toString(), false, neverSent);
        } catch (IOException | IllegalArgumentException failure) {
            // The client throws an IllegalArgumentException if the length of an answer is not a number.
            throw new EntryUnreachableException(entryAddress.toString(), isChange, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new EntryUnreachableException(entryAddress.toString(), isChange, interrupted);
        }
    }

    /**
     * Returns a client for one call. On a connection that is used again, the rest of an answer that was sent twice would
     * be read as the beginning of the next answer.
     */
    private static HttpClient createClient() {
        return HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    }

    /** Parses a body; a body that is not JSON, for example from a wrong address, is treated as an empty object. */
    private JsonNode parse(String body) {
        try {
            return mapper.readTree(body);
        } catch (JsonProcessingException notJson) {
            return JsonNodeFactory.instance.objectNode();
        }
    }
}
