package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ServiceName;

/** Endpoints for the status of the running system. An operator of a team sees only that team's services. */
final class StatusEndpoints {
    private final ProcessStatusSource source;
    private final DocumentRegistry registry;

    StatusEndpoints(ProcessStatusSource source, DocumentRegistry registry) {
        this.source = source;
        this.registry = registry;
    }

    List<Endpoint> all() {
        return List.of(
                new Endpoint("GET", "status", this::status),
                new Endpoint("GET", "engines", this::engines),
                new Endpoint("GET", "duties", this::duties),
                new Endpoint("GET", "in-force", this::inForce),
                new Endpoint("GET", "dump/:process", this::dump),
                new Endpoint("GET", "explain/:request", this::explain));
    }

    private ApiAnswer status(ApiRequest request) {
        ObjectNode body = StatusJson.object().put("process", source.process());
        ArrayNode services = body.putArray("services");
        for (ServiceStatus service : source.services()) {
            if (isShown(request, service.name())) {
                services.add(StatusJson.service(service, registry.revision(service.name())));
            }
        }
        body.set("engines", backends(request));
        return ApiAnswer.ok(body);
    }

    private ApiAnswer engines(ApiRequest request) {
        ObjectNode body = StatusJson.object();
        body.set("engines", backends(request));
        return ApiAnswer.ok(body);
    }

    private ArrayNode backends(ApiRequest request) {
        ArrayNode backends = StatusJson.object().arrayNode();
        for (BackendStatus backend : source.backends()) {
            if (isShown(request, backend.service())
                    && request.matchesFilter("dataCentre", backend.dataCentre())
                    && request.matchesFilter("engine", backend.name())) {
                backends.add(StatusJson.backend(backend));
            }
        }
        return backends;
    }

    private ApiAnswer duties(ApiRequest request) throws AspenmoorException {
        ObjectNode body = StatusJson.object();
        ArrayNode duties = body.putArray("duties");
        for (DutyStatus duty : source.duties()) {
            if (isShown(request, duty) && request.matchesFilter("dataCentre", duty.dataCentre())) {
                duties.add(StatusJson.duty(duty));
            }
        }
        return ApiAnswer.ok(body);
    }

    private ApiAnswer inForce(ApiRequest request) {
        ObjectNode body = StatusJson.object();
        ArrayNode processes = body.putArray("inForce");
        for (ProcessRevision revision : source.revisions()) {
            if (isShown(request, revision.service()) && request.matchesFilter("dataCentre", revision.dataCentre())) {
                processes.add(StatusJson.revision(revision));
            }
        }
        return ApiAnswer.ok(body);
    }

    /** A dump contains the requests of all teams and therefore requires a token for the whole platform. */
    private ApiAnswer dump(ApiRequest request) throws AspenmoorException {
        String process = request.pathToken("process");
        if (request.operator().scope() instanceof OperatorScope.OneTeam) {
            throw RequestRefusedException.outOfScope("dump of " + process);
        }
        return ApiAnswer.ok(source.dump(process)
                .orElseThrow(() -> RequestRefusedException.unknown(
                        "This entry does not know the process \"" + process + "\".",
                        process,
                        "Name a process that in-force lists, or query an entry in its data centre.")));
    }

    private ApiAnswer explain(ApiRequest request) throws AspenmoorException {
        String text = request.pathToken("request");
        RequestId id = RequestId.parse(text)
                .orElseThrow(() -> RequestRefusedException.malformed(
                        "request", "\"" + text + "\" is not a request id of 32 hexadecimal digits."));
        Optional<RequestExplanation> explanation =
                source.explain(id).filter(found -> isShown(request.operator().scope(), found));
        ObjectNode body = StatusJson.object().put("request", id.toString());
        explanation
                .orElseThrow(() -> RequestRefusedException.unknown(
                        "This entry has no record of the request.",
                        id.toString(),
                        "Query the entry that answered it; each entry keeps only its latest requests."))
                .sentences()
                .forEach(body.putArray("sentences")::add);
        return ApiAnswer.ok(body);
    }

    private static boolean isShown(OperatorScope scope, RequestExplanation explanation) {
        return switch (scope) {
            case OperatorScope.WholePlatform whole -> true;
            case OperatorScope.OneTeam one ->
                explanation.service().filter(one::covers).isPresent();
        };
    }

    private static boolean isShown(ApiRequest request, DutyStatus duty) {
        boolean covered = duty.team().map(request.operator().scope()::covers).orElse(true);
        return covered
                && request.matchesFilter("team", duty.team().orElse(""))
                && request.matchesFilter("service", duty.service().orElse(""));
    }

    private static boolean isShown(ApiRequest request, ServiceName name) {
        return request.operator().scope().covers(name)
                && request.matchesFilter("team", name.team())
                && request.matchesFilter("service", name.service());
    }
}
