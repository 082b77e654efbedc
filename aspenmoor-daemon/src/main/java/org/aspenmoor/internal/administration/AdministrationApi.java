package org.aspenmoor.internal.administration;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.DocumentAcceptance;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.http.LimitedBody;
import org.jboss.logging.Logger;
import ratpack.exec.Blocking;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Handler chain of the administration API, which every entry serves below {@code /admin/v1}. */
public final class AdministrationApi implements Action<Chain> {
    /** Root path of the API, without leading and trailing slash. */
    public static final String ROOT = "admin/v1";

    private static final Logger LOG = Logger.getLogger("administration");
    private static final String JSON = "application/json";
    // Below the store's limit of 1 MiB on a value, as a stored document also contains its acceptance record.
    private static final int MAX_BODY_BYTES = 700 * 1024;

    private final OperatorTokens tokens;
    private final List<Endpoint> endpoints;
    private final String description;

    public AdministrationApi(
            OperatorTokens tokens,
            DocumentAcceptance acceptance,
            DocumentRegistry registry,
            ProcessStatusSource source) {
        this.tokens = tokens;
        List<Endpoint> all = new ArrayList<>(new DocumentEndpoints(acceptance, registry).all());
        all.addAll(new StatusEndpoints(source, registry).all());
        this.endpoints = List.copyOf(all);
        this.description = readDescription();
    }

    /** Returns all operations, for the comparison with the published description. */
    List<Endpoint> endpoints() {
        return endpoints;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.get("openapi.json", context -> context.getResponse().send(JSON, description));
        Map<String, List<Endpoint>> byPath = new LinkedHashMap<>();
        endpoints.forEach(endpoint -> byPath.computeIfAbsent(endpoint.path(), path -> new ArrayList<>())
                .add(endpoint));
        for (Map.Entry<String, List<Endpoint>> path : byPath.entrySet()) {
            chain.path(path.getKey(), context -> handle(context, path.getValue()));
        }
        chain.all(context -> send(
                context,
                ErrorAnswers.of(RequestRefusedException.unknown(
                        "The administration API does not have this path.",
                        context.getRequest().getPath(),
                        "See /admin/v1/openapi.json for the paths."))));
    }

    private void handle(Context context, List<Endpoint> endpointsOfPath) {
        Optional<String> authorization =
                Optional.ofNullable(context.getRequest().getHeaders().get("Authorization"));
        Optional<Operator> operator = tokens.find(authorization);
        if (operator.isEmpty()) {
            send(context, ErrorAnswers.of(RequestRefusedException.unauthorised()));
            return;
        }
        String method = context.getRequest().getMethod().getName();
        Optional<Endpoint> endpoint = endpointsOfPath.stream()
                .filter(candidate -> candidate.method().equals(method))
                .findFirst();
        if (endpoint.isEmpty()) {
            send(context, ErrorAnswers.of(RequestRefusedException.methodNotAllowed(method)));
            return;
        }
        dispatch(context, operator.get(), endpoint.get());
    }

    private static void dispatch(Context context, Operator operator, Endpoint endpoint) {
        LimitedBody.read(
                        context,
                        MAX_BODY_BYTES,
                        () -> send(context, ErrorAnswers.of(RequestRefusedException.tooLarge(MAX_BODY_BYTES))))
                .map(body -> toApiRequest(context, operator, body.getText(StandardCharsets.UTF_8)))
                .flatMap(request -> Blocking.get(() -> invoke(endpoint, request)))
                .onError(fault -> {
                    LOG.errorf(fault, "administration: %s %s failed", endpoint.method(), endpoint.path());
                    send(context, ErrorAnswers.of(internalError(fault)));
                })
                .then(answer -> send(context, answer));
    }

    private static ApiAnswer invoke(Endpoint endpoint, ApiRequest request) {
        try {
            return endpoint.handler().handle(request);
        } catch (AspenmoorException error) {
            LOG.infof(
                    "administration: %s %s by %s refused, %s",
                    endpoint.method(), endpoint.path(), request.operator().name(), error.problem());
            return ErrorAnswers.of(error);
        }
    }

    private static ApiRequest toApiRequest(Context context, Operator operator, String body) {
        Map<String, String> query = new HashMap<>();
        context.getRequest().getQueryParams().forEach(query::put);
        return new ApiRequest(
                operator,
                Map.copyOf(context.getAllPathTokens()),
                query,
                Optional.ofNullable(context.getRequest().getHeaders().get("If-Match")),
                body);
    }

    private static AspenmoorException internalError(Throwable fault) {
        return new AspenmoorException(
                "Internal error of the entry: " + fault.getClass().getSimpleName() + ".",
                "administration API",
                "Check the log of this entry, and read the document again before repeating a change.",
                fault);
    }

    private static void send(Context context, ApiAnswer answer) {
        context.getResponse().status(answer.status());
        answer.headers()
                .forEach((name, value) -> context.getResponse().getHeaders().set(name, value));
        context.getResponse().send(JSON, answer.body().toString());
    }

    private static String readDescription() {
        try (InputStream stream = AdministrationApi.class.getResourceAsStream("openapi.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            throw new IllegalStateException("openapi.json cannot be read from the class path", unreadable);
        }
    }
}
