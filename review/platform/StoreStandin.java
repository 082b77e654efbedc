import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store in memory, without faults: objects by kind and name, conditional writes and watches. */
final class StoreStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final String ROOT = "/aspenmoor/objects/";

    private final HttpServer server;
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    private boolean closed;

    private record Change(String kind, long revision, ObjectNode object, boolean deleted) {}

    private record Reply(int status, JsonNode body) {}

    StoreStandin() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.start();
        Thread.ofPlatform().daemon().start(this::beat);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Creates or replaces an object, as the operator or an engine does. */
    synchronized void put(String kind, String name, String spec) throws IOException {
        store(kind, name, MAPPER.readTree(spec));
    }

    /** Removes an object, as the store does when an engine has been silent for three heartbeats. */
    synchronized void remove(String kind, String name) {
        delete(kind, name, null);
    }

    /** Writes the heartbeats of the registered engines. */
    private void beat() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                synchronized (this) {
                    for (ObjectNode engine : List.copyOf(kind("servers").values())) {
                        ObjectNode spec = engine.path("spec").deepCopy();
                        spec.put("seq", spec.path("seq").asLong() + 1);
                        store("servers", engine.path("metadata").path("name").asText(), spec);
                    }
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] requestBody = exchange.getRequestBody().readAllBytes();
            Reply reply = reply(exchange, requestBody);
            byte[] body = reply.body().toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Reply reply(HttpExchange exchange, byte[] body) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        if (!path.startsWith(ROOT)) {
            return new Reply(404, MAPPER.createObjectNode());
        }
        String[] words = path.substring(ROOT.length()).split("/");
        String kind = words[0];
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        return switch (exchange.getRequestMethod()) {
            case "GET" -> words.length > 1 ? one(kind, words[1]) : listOrWatch(kind, query);
            case "POST" -> create(kind, MAPPER.readTree(body));
            case "PUT" -> replace(kind, words[1], MAPPER.readTree(body));
            case "DELETE" -> delete(kind, words[1], query.get("revision"));
            default -> new Reply(405, MAPPER.createObjectNode());
        };
    }

    private Reply one(String kind, String name) {
        ObjectNode object = kind(kind).get(name);
        return object == null ? new Reply(404, MAPPER.createObjectNode()) : new Reply(200, object);
    }

    private Reply listOrWatch(String kind, Map<String, String> query) throws InterruptedException {
        if (query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode items = page.putArray("items");
        String after = query.getOrDefault("after", "");
        kind(kind).tailMap(after, after.isEmpty()).values().forEach(items::add);
        page.put("more_pages", false).put("current_rev", revision);
        return new Reply(200, page);
    }

    private Reply watch(String kind, long since, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (!closed && changes.stream().noneMatch(each -> each.kind.equals(kind) && each.revision > since)) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode events = answer.putArray("events");
        for (Change change : changes) {
            if (change.kind.equals(kind) && change.revision > since) {
                events.addObject().put("deleted", change.deleted).set("object", change.object);
            }
        }
        answer.put("current_rev", revision);
        return new Reply(200, answer);
    }

    private Reply create(String kind, JsonNode sent) {
        String name = sent.path("metadata").path("name").asText();
        ObjectNode existing = kind(kind).get(name);
        return existing == null ? new Reply(201, store(kind, name, sent.path("spec"))) : new Reply(409, existing);
    }

    private Reply replace(String kind, String name, JsonNode sent) {
        ObjectNode existing = kind(kind).get(name);
        if (existing == null) {
            return new Reply(404, MAPPER.createObjectNode());
        }
        JsonNode condition = sent.path("metadata").path("revision");
        if (condition.isNumber() && condition.asLong() != revisionOf(existing)) {
            return new Reply(409, existing);
        }
        boolean same = existing.path("spec").equals(sent.path("spec"));
        return new Reply(200, same ? existing : store(kind, name, sent.path("spec")));
    }

    private Reply delete(String kind, String name, String condition) {
        ObjectNode existing = kind(kind).get(name);
        if (existing == null) {
            return new Reply(404, MAPPER.createObjectNode());
        }
        if (condition != null && Long.parseLong(condition) != revisionOf(existing)) {
            return new Reply(409, existing);
        }
        kind(kind).remove(name);
        changes.add(new Change(kind, ++revision, existing, true));
        notifyAll();
        return new Reply(200, existing);
    }

    private ObjectNode store(String kind, String name, JsonNode spec) {
        long created = kind(kind).containsKey(name)
                ? kind(kind).get(name).path("metadata").path("created_rev").asLong()
                : revision + 1;
        revision++;
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("revision", revision).put("created_rev", created);
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        kind(kind).put(name, object);
        changes.add(new Change(kind, revision, object, false));
        notifyAll();
        return object;
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return kinds.computeIfAbsent(kind, unseen -> new TreeMap<>());
    }

    private static long revisionOf(ObjectNode object) {
        return object.path("metadata").path("revision").asLong();
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length > 1 ? pair[1] : "");
        }
        return query;
    }
}
