package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.Placer;
import org.aspenmoor.internal.serving.Prompt;

/** Tells the placement what one request's answer shows of its engine and of the answers of its service. */
final class AnswerProgress {
    private final Placer placer;
    private final String service;
    private final Optional<Prompt> prompt;
    private final RequestTrace trace;

    AnswerProgress(Placer placer, String service, Optional<Prompt> prompt, RequestTrace trace) {
        this.placer = placer;
        this.service = service;
        this.prompt = prompt;
        this.trace = trace;
    }

    /** Notes that the answer should be whole within some time. */
    void wanted(Duration allowed, long now) {
        prompt.ifPresent(wanted -> placer.answerWanted(service, wanted, allowed, now));
    }

    /**
     * Notes an event.
     *
     * @param work the attempt that it came from
     * @param allowed how long the request may take
     */
    void event(PlacedWork work, Duration allowed, long now) {
        trace.event(now).ifPresent(pause -> placer.eventTold(work, pause, now));
        placer.answerTold(service, trace.told(), allowed, now);
    }

    /** Notes that the last event has come. */
    void whole() {
        prompt.ifPresent(answered -> placer.answerWhole(service, answered, trace.events()));
    }
}
