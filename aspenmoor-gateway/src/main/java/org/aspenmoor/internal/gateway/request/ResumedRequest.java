package org.aspenmoor.internal.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.protocol.Resumption;
import org.aspenmoor.internal.serving.origin.OriginInquiry;
import org.aspenmoor.internal.serving.origin.ResumeDecision;
import org.aspenmoor.internal.serving.origin.StreamKey;

/**
 * A request for the rest of a stream. It is served, or refused, when it is known which software version has begun the
 * stream, for which other entries may have to be asked.
 */
final class ResumedRequest implements ActiveRequest {
    private final ServingContext context;
    private final CallerHeaders caller;
    private final Function<ResumeDecision, ActiveRequest> decided;
    private final Runnable abandoned;
    private final long startedAt;
    private Optional<OriginInquiry> inquiry = Optional.empty();
    private Optional<ActiveRequest> started = Optional.empty();

    /**
     * Creates a request.
     *
     * @param decided serves or refuses the request
     * @param abandoned releases the resources of the request, if its caller leaves before it is served or refused
     */
    ResumedRequest(
            ServingContext context,
            CallerHeaders caller,
            Function<ResumeDecision, ActiveRequest> decided,
            Runnable abandoned) {
        this.context = context;
        this.caller = caller;
        this.decided = decided;
        this.abandoned = abandoned;
        this.startedAt = context.state().time().monotonicNanos();
    }

    /**
     * Finds out which version has begun the stream.
     *
     * @param organisation the name of the caller's organisation; empty if there is none
     * @param services the services that may serve the request
     */
    void start(String organisation, List<String> services) {
        StreamKey stream = caller.resumption()
                .flatMap(Resumption::firstRequestId)
                .map(id -> StreamKey.of(organisation, id))
                .orElse(StreamKey.unstated(organisation));
        inquiry = context.origins().resolve(stream, services, decision -> {
            record(decision, services.getFirst());
            started = Optional.of(decided.apply(decision));
        });
    }

    @Override
    public void callerDisconnected() {
        if (started.isPresent()) {
            started.get().callerDisconnected();
            return;
        }
        inquiry.ifPresent(OriginInquiry::cancel);
        abandoned.run();
    }

    @Override
    public void writabilityChanged() {
        started.ifPresent(ActiveRequest::writabilityChanged);
    }

    @Override
    public void processStopping() {
        started.ifPresent(ActiveRequest::processStopping);
    }

    @Override
    public void processEnding() {
        if (started.isEmpty()) {
            inquiry.ifPresent(OriginInquiry::cancel);
            started = Optional.of(decided.apply(new ResumeDecision.Refuse("this process ends")));
            return;
        }
        started.get().processEnding();
    }

    private void record(ResumeDecision decision, String service) {
        switch (decision) {
            case ResumeDecision.Continue resumed -> {
                context.metrics().streamResumed(resumed.origin().service(), true);
                logLine(context.state().log().routine("stream-resumed"))
                        .with("service", resumed.origin().service())
                        .with("softwareVersion", resumed.origin().version().name())
                        .with("basis", resumed.basis().name())
                        .write();
            }
            case ResumeDecision.Refuse refused -> {
                context.metrics().streamResumed(service, false);
                logLine(context.state().log().notable("stream-not-resumed"))
                        .with("service", service)
                        .with("reason", refused.reason())
                        .write();
            }
        }
    }

    private LogLine logLine(LogLine line) {
        long waited = context.state().time().monotonicNanos() - startedAt;
        return line.with("request", caller.requestId())
                .with(
                        "resumedRequest",
                        caller.resumption().flatMap(Resumption::firstRequestId).orElse(""))
                .with("waitedMs", TimeUnit.NANOSECONDS.toMillis(waited));
    }
}
