package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.Prompt;

/** Tells the placement what one request's answer shows of its engine and of the answers of its service. */
final class AnswerProgress {
    private final PlacementPolicy placer;
    private final String service;
    private final Optional<Prompt> prompt;
    private final RequestTrace trace;

    AnswerProgress(PlacementPolicy placer, String service, Optional<Prompt> prompt, RequestTrace trace) {
        this.placer = placer;
        this.service = service;
        this.prompt = prompt;
        this.trace = trace;
    }

    /** Notes that the answer should be whole within some time. */
    void wanted(Duration allowed, long now) {
        prompt.ifPresent(wanted -> placer.answerRequested(service, wanted, allowed, now));
    }

    /**
     * Notes an event.
     *
     * @param work the attempt that it came from
     * @param allowed how long the request may take
     */
    void event(AssignedWork work, Duration allowed, long now) {
        trace.event(now).ifPresent(pause -> placer.eventReceived(work, pause, now));
        placer.answerStreaming(service, trace.told(), allowed, now);
    }

    /** Notes that the last event has come. */
    void whole() {
        prompt.ifPresent(answered -> placer.answerCompleted(service, answered, trace.events()));
    }
}
