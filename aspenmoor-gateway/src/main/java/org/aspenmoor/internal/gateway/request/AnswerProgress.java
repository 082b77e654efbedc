package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.Placer;
import org.aspenmoor.internal.serving.Prompt;

/**
 * Reports the progress of one request's answer to the placement policy, which estimates engine and service load from
 * it.
 */
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

    /** Records that the answer has to be complete within the given time. */
    void wanted(Duration allowed, long now) {
        prompt.ifPresent(wanted -> placer.answerWanted(service, wanted, allowed, now));
    }

    /**
     * Records an event of the answer.
     *
     * @param work the attempt that it belongs to
     * @param allowed the time limit of the request
     */
    void event(PlacedWork work, Duration allowed, long now) {
        trace.event(now).ifPresent(pause -> placer.eventTold(work, pause, now));
        placer.answerTold(service, trace.told(), allowed, now);
    }

    /** Records that the answer is complete. */
    void whole() {
        prompt.ifPresent(answered -> placer.answerWhole(service, answered, trace.events()));
    }
}
