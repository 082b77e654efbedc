package org.aspenmoor.internal.http;

import java.util.random.RandomGenerator;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.entry.EntryMessage;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.time.TimeSource;
import ratpack.func.Action;
import ratpack.handling.Chain;

/** Routes of the HTTP API for callers. */
public final class CallerRoutes implements Action<Chain> {
    private final RequestSubmitter submitter;
    private final DocumentRegistry registry;
    private final CallerLimits limits;
    private final TimeSource time;

    public CallerRoutes(
            Worker<EntryMessage> eventLoop,
            DocumentRegistry registry,
            RandomGenerator random,
            CallerLimits limits,
            TimeSource time) {
        this.registry = registry;
        this.submitter = new RequestSubmitter(eventLoop, random);
        this.limits = limits;
        this.time = time;
    }

    @Override
    public void execute(Chain chain) {
        chain.get("v1/models", new ModelsHandler(registry, submitter));
        chain.post("v1/completions", new CompletionsHandler(submitter, limits, time, false));
        chain.post("v1/chat/completions", new CompletionsHandler(submitter, limits, time, true));
        chain.path("services/:service/::.*", new PassThroughHandler(submitter, limits));
    }
}
