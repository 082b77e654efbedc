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

/** Calls the administration API of one entry. */
final class AdministrationClient {
    private static final String ROOT = "/admin/v1/";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final int LEAST_ERROR = 400;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final URI entry;
    private final String token;

    AdministrationClient(URI entry, String token) {
        this.entry = entry;
        this.token = token;
    }

    /** Reads something. */
    JsonNode get(String path) throws AspenmoorException {
        return send(path, request(path).GET(), false);
    }

    /** Asks for something that changes nothing, with a body; on the revision that was read, if any is given. */
    JsonNode ask(String path, OptionalLong readRevision, String body) throws AspenmoorException {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        readRevision.ifPresent(revision -> onRevision(request, revision));
        return send(path, request, false);
    }

    /** Accepts a document on the revision that was read. */
    JsonNode put(String path, long readRevision, String body) throws AspenmoorException {
        HttpRequest.Builder request = request(path).PUT(HttpRequest.BodyPublishers.ofString(body));
        return send(path, onRevision(request, readRevision), true);
    }

    /** Carries out a change without a body on the revision that was read. */
    JsonNode change(String path, long readRevision) throws AspenmoorException {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.noBody());
        return send(path, onRevision(request, readRevision), true);
    }

    private static HttpRequest.Builder onRevision(HttpRequest.Builder request, long revision) {
        return request.header("If-Match", "\"" + revision + "\"");
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(entry.resolve(ROOT + path))
                .timeout(ANSWER_TIMEOUT)
                .header("Authorization", "Bearer " + token);
    }

    private JsonNode send(String path, HttpRequest.Builder request, boolean changes) throws AspenmoorException {
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode body = parse(response.body());
            if (response.statusCode() >= LEAST_ERROR) {
                throw new CallRefusedException(response.statusCode(), body, entry + ROOT + path);
            }
            return body;
        } catch (ConnectException neverSent) {
            throw new EntryUnreachableException(entry.toString(), false, neverSent);
        } catch (IOException lost) {
            throw new EntryUnreachableException(entry.toString(), changes, lost);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new EntryUnreachableException(entry.toString(), changes, interrupted);
        }
    }

    /** Reads a body; one that is no JSON, as from a wrong address, counts as empty. */
    private JsonNode parse(String body) {
        try {
            return mapper.readTree(body);
        } catch (JsonProcessingException notOurs) {
            return JsonNodeFactory.instance.objectNode();
        }
    }
}
