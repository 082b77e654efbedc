/** The operator's configuration of the cases: one plain service with an unsafe and a safe route. */
final class Deployment {
    static final String HOST = "registry.example";
    static final String SERVICE = "registry-app";
    static final String FILING_PATH = "/file/";
    static final String STATUS_PATH = "/status/";

    private Deployment() {}

    static String configuration(int timeoutMillis) {
        return """
                {"version":7,
                 "routes":[
                  {"name":"sheet-file","host":"%s","path_prefix":"%s","kind":"unsafe","timeout_ms":%d,"slo_ms":1000,
                   "priority":2,"service":"%s","attempts":1,"sticky":false,"can_resume":false},
                  {"name":"status-read","host":"%s","path_prefix":"%s","kind":"safe","timeout_ms":%d,"slo_ms":1000,
                   "priority":2,"service":"%s","attempts":2,"sticky":false,"can_resume":false}],
                 "services":[{"name":"%s","health_path":"/healthz","max_conns":200,"protocol":"h1","tls":false}],
                 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000}}
                """
                .formatted(
                        HOST, FILING_PATH, timeoutMillis, SERVICE, HOST, STATUS_PATH, timeoutMillis, SERVICE, SERVICE);
    }
}
