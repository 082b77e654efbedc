package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Routes that every process serves: health, readiness, metrics and the state dump. */
public final class ProcessRoutes implements Action<Chain> {
    private static final int UNAVAILABLE = 503;

    private final PrometheusRegistry registry;
    private final Supplier<CompletableFuture<ObjectNode>> dump;
    private final BooleanSupplier ready;
    private final ExpositionFormats formats = ExpositionFormats.init();

    public ProcessRoutes(
            PrometheusRegistry registry, Supplier<CompletableFuture<ObjectNode>> dump, BooleanSupplier ready) {
        this.registry = registry;
        this.dump = dump;
        this.ready = ready;
    }

    @Override
    public void execute(Chain chain) {
        chain.get("health", context -> context.getResponse().send("text/plain", "ok\n"));
        chain.get("ready", this::ready);
        chain.get("metrics", this::metrics);
        chain.get("state", this::state);
    }

    private void ready(Context context) {
        if (ready.getAsBoolean()) {
            context.getResponse().send("text/plain", "ready\n");
        } else {
            context.getResponse().status(UNAVAILABLE).send("text/plain", "not ready\n");
        }
    }

    private void metrics(Context context) throws Exception {
        ExpositionFormatWriter writer =
                formats.findWriter(context.getRequest().getHeaders().get("Accept"));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writer.write(body, registry.scrape());
        context.getResponse().send(writer.getContentType(), body.toByteArray());
    }

    private void state(Context context) {
        Promise.<ObjectNode>async(downstream -> dump.get().thenAccept(downstream::success))
                .then(node -> context.getResponse().send("application/json", node.toPrettyString()));
    }
}
