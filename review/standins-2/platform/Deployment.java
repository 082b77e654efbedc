package org.aspenmoor.review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The configuration that the operator of a small deployment writes. */
final class Deployment {
    static final String SAFE = "/status/";
    static final String UNSAFE = "/file/";
    static final String DRAFT = "/draft/";
    static final String CLASSIFY = "/classify/";
    static final String SERVICE = "registry-app";
    static final String MODELS = "drafting-llm";

    private Deployment() {}

    static ObjectNode configuration(int version, long timeoutMillis) {
        ObjectNode configuration = Json.object().put("version", version);
        ArrayNode routes = configuration.putArray("routes");
        route(routes, "r-status", SAFE, "safe", timeoutMillis, 2);
        route(routes, "r-file", UNSAFE, "unsafe", timeoutMillis, 1);
        route(routes, "r-draft", DRAFT, "streaming", timeoutMillis, 2);
        ((ObjectNode) routes.get(2)).put("service", MODELS).put("sticky", true).put("can_resume", true);
        ((ObjectNode) routes.get(2)).put("slo_ms", 500).put("gap_target_ms", 400);
        route(routes, "r-classify", CLASSIFY, "streaming", timeoutMillis, 1);
        ((ObjectNode) routes.get(3)).put("service", MODELS).put("sticky", true);
        ((ObjectNode) routes.get(3)).put("slo_ms", 500).put("gap_target_ms", 400);
        ArrayNode services = configuration.putArray("services");
        services.addObject()
                .put("name", MODELS)
                .put("health_path", "/healthz")
                .put("max_conns", 1240)
                .put("protocol", "h1")
                .put("tls", false)
                .putObject("engine")
                .put("slots", 128)
                .put("kv_tokens", 726452)
                .put("kv_token_bytes", 18432)
                .put("link_mbps", 350000.0);
        services.addObject()
                .put("name", SERVICE)
                .put("health_path", "/healthz")
                .put("max_conns", 200)
                .put("protocol", "h1")
                .put("tls", false);
        configuration
                .putObject("limits")
                .put("max_header_bytes", 16384)
                .put("max_body_bytes", 4194304)
                .put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15000);
        return configuration;
    }

    private static void route(
            ArrayNode routes, String name, String prefix, String kind, long timeoutMillis, int attempts) {
        routes.addObject()
                .put("name", name)
                .put("host", "desk.example")
                .put("path_prefix", prefix)
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("slo_ms", 120)
                .put("priority", 2)
                .put("service", SERVICE)
                .put("attempts", attempts)
                .put("sticky", false)
                .put("can_resume", false);
    }
}
