package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.document.DocumentAcceptance;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.time.ManualTimeSource;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** Serves the administration API on a free port of the loopback address and calls it. */
final class AdministrationServer implements AutoCloseable {
    static final String PLATFORM_TOKEN = "platform-token";
    static final String STUDIO_TOKEN = "studio-token";

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client = HttpClient.newHttpClient();
    private final DocumentRegistry registry = new DocumentRegistry(new ManualTimeSource());
    private final AdministrationApi api;
    private final RatpackServer server;

    AdministrationServer(ObjectStore store) throws Exception {
        ProcessStatusSource source = new FixedStatusSource();
        DocumentAcceptance acceptance = new DocumentAcceptance(
                store, new RegistryFleetView(registry, source), new ManualTimeSource(), new Random(5));
        OperatorTokens tokens = new OperatorTokens(List.of(
                new Operator("root", TokenHash.of(PLATFORM_TOKEN), new OperatorScope.WholePlatform()),
                new Operator("aigul", TokenHash.of(STUDIO_TOKEN), new OperatorScope.OneTeam("studio"))));
        api = new AdministrationApi(tokens, acceptance, registry, source);
        server = RatpackServer.start(spec -> spec.serverConfig(ServerConfig.builder()
                        .address(InetAddress.getLoopbackAddress())
                        .port(0)
                        .threads(2))
                .handlers(chain -> chain.prefix(AdministrationApi.ROOT, api)));
    }

    AdministrationApi api() {
        return api;
    }

    DocumentRegistry registry() {
        return registry;
    }

    /** Calls a path below the root; a non-empty {@code readRevision} is sent as {@code If-Match}. */
    HttpResponse<String> call(String method, String path, String token, String readRevision, String body)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + server.getBindPort() + "/" + AdministrationApi.ROOT + "/" + path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        if (!readRevision.isEmpty()) {
            request.header("If-Match", readRevision);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode json(HttpResponse<String> response) throws IOException {
        return mapper.readTree(response.body());
    }

    @Override
    public void close() throws Exception {
        server.stop();
        client.close();
    }
}
