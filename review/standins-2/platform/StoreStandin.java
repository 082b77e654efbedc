package org.aspenmoor.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: objects by kind and name, one revision counter, watches with a wait, conditional writes. */
final class StoreStandin implements AutoCloseable {
    private static final String ROOT = "/aspenmoor/objects/";

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;
    private long delayMillis;
    private long era = 1;
    private boolean away;
    private Map<String, TreeMap<String, ObjectNode>> copyOfKinds = Map.of();
    private long copiedRevision;

    StoreStandin() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext(ROOT, this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets how long each answer takes. */
    synchronized void delay(long millis) {
        delayMillis = millis;
    }

    /** Keeps a copy of all objects. */
    synchronized void copy() {
        copyOfKinds = deepCopy(kinds);
        copiedRevision = revision;
    }

    /** Has the store answer nothing, or answer again. */
    synchronized void away(boolean nowAway) {
        away = nowAway;
        notifyAll();
    }

    /** Comes back from the copy: what was written since is gone, revisions go back, and the era rises. */
    synchronized void restore() {
        kinds.clear();
        kinds.putAll(deepCopy(copyOfKinds));
        revision = copiedRevision;
        history.removeIf(change -> change.path("at").asLong() > copiedRevision);
        era++;
        away = false;
        notifyAll();
    }

    private static Map<String, TreeMap<String, ObjectNode>> deepCopy(Map<String, TreeMap<String, ObjectNode>> original) {
        Map<String, TreeMap<String, ObjectNode>> copied = new HashMap<>();
        original.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
        return copied;
    }

    private synchronized boolean isAway() {
        return away;
    }

    private synchronized long era() {
        return era;
    }

    /** Writes what the operator or an engine writes. */
    synchronized void put(String kind, String name, ObjectNode spec) {
        ObjectNode object = kinds.computeIfAbsent(kind, unseen -> new TreeMap<>()).get(name);
        if (object != null && object.path("spec").equals(spec)) {
            return;
        }
        store(kind, name, spec, object);
    }

    synchronized void remove(String kind, String name) {
        ObjectNode removed = kinds.computeIfAbsent(kind, unseen -> new TreeMap<>()).remove(name);
        if (removed != null) {
            record(kind, removed, true);
        }
    }

    private ObjectNode store(String kind, String name, JsonNode spec, ObjectNode before) {
        ObjectNode object = Json.object();
        revision++;
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("revision", revision);
        metadata.put(
                "created_rev",
                before == null ? revision : before.path("metadata").path("created_rev").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putObject("status");
        kinds.computeIfAbsent(kind, unseen -> new TreeMap<>()).put(name, object);
        revision--;
        record(kind, object, false);
        return object;
    }

    private void record(String kind, ObjectNode object, boolean deleted) {
        revision++;
        ObjectNode change = Json.object();
        change.put("kind", kind).put("at", revision).put("deleted", deleted);
        change.set("object", object);
        history.add(change);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String[] path = exchange.getRequestURI().getPath().substring(ROOT.length()).split("/", 2);
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        Answer answer;
        if (isAway()) {
            exchange.close();
            return;
        }
        try {
            pause();
            answer = answer(exchange.getRequestMethod(), path, query, body);
        } catch (InterruptedException stopped) {
            exchange.close();
            return;
        }
        if (isAway()) {
            exchange.close();
            return;
        }
        byte[] text = answer.body() == null ? new byte[0] : answer.body().toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", Long.toString(era()));
        exchange.sendResponseHeaders(answer.status(), text.length == 0 ? -1 : text.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(text);
        }
    }

    private void pause() throws InterruptedException {
        long millis;
        synchronized (this) {
            millis = delayMillis;
        }
        Thread.sleep(millis);
    }

    private synchronized Answer answer(String method, String[] path, Map<String, String> query, byte[] body)
            throws InterruptedException {
        String kind = path[0];
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, unseen -> new TreeMap<>());
        if (path.length == 1) {
            return switch (method) {
                case "GET" -> query.containsKey("watch") ? watch(kind, query) : list(objects, query);
                case "POST" -> {
                    JsonNode sent = Json.parse(body);
                    String name = sent.path("metadata").path("name").asText();
                    yield objects.containsKey(name)
                            ? new Answer(409, objects.get(name))
                            : new Answer(201, store(kind, name, sent.path("spec"), null));
                }
                default -> new Answer(405, null);
            };
        }
        String name = path[1];
        ObjectNode present = objects.get(name);
        if (present == null) {
            return new Answer(404, null);
        }
        long current = present.path("metadata").path("revision").asLong();
        return switch (method) {
            case "GET" -> new Answer(200, present);
            case "PUT" -> {
                JsonNode sent = Json.parse(body);
                JsonNode condition = sent.path("metadata").path("revision");
                if (condition.isNumber() && condition.asLong() != current) {
                    yield new Answer(409, present);
                }
                yield present.path("spec").equals(sent.path("spec"))
                        ? new Answer(200, present)
                        : new Answer(200, store(kind, name, sent.path("spec"), present));
            }
            case "DELETE" -> {
                String condition = query.get("revision");
                if (condition != null && Long.parseLong(condition) != current) {
                    yield new Answer(409, present);
                }
                objects.remove(name);
                record(kind, present, true);
                yield new Answer(200, present);
            }
            default -> new Answer(405, null);
        };
    }

    private Answer list(TreeMap<String, ObjectNode> objects, Map<String, String> query) {
        ObjectNode listed = Json.object();
        ArrayNode items = listed.putArray("items");
        (query.containsKey("after") ? objects.tailMap(query.get("after"), false) : objects)
                .values()
                .forEach(items::add);
        listed.put("more_pages", false).put("current_rev", revision);
        return new Answer(200, listed);
    }

    private Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        long eraAtStart = era;
        while (true) {
            if (since > revision || era != eraAtStart || away) {
                return new Answer(410, Json.object());
            }
            ObjectNode changes = Json.object();
            ArrayNode events = changes.putArray("events");
            for (ObjectNode change : history) {
                if (change.path("at").asLong() > since && change.path("kind").asText().equals(kind)) {
                    ObjectNode event = events.addObject();
                    event.set("object", change.path("object"));
                    event.put("deleted", change.path("deleted").asBoolean());
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                changes.put("current_rev", revision);
                return new Answer(200, changes);
            }
            wait(left);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            String[] parts = pair.split("=", 2);
            values.put(parts[0], parts.length == 2 ? parts[1] : "");
        }
        return values;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private record Answer(int status, JsonNode body) {}
}
