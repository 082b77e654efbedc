package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.SoftwareVersion;

/** Reports the progress of one request's answer to the placement policy, which estimates the load from it. */
final class AnswerProgress {
    private final PlacementPolicy placementPolicy;
    private final String service;
    private final Optional<Prompt> prompt;
    private final RequestTrace trace;

    AnswerProgress(PlacementPolicy placementPolicy, String service, Optional<Prompt> prompt, RequestTrace trace) {
        this.placementPolicy = placementPolicy;
        this.service = service;
        this.prompt = prompt;
        this.trace = trace;
    }

    /** Records that the answer has to be complete within the given time. */
    void expectWithin(Duration allowed, long now) {
        prompt.ifPresent(expected -> placementPolicy.answerRequested(service, expected, allowed, now));
    }

    /**
     * Records an event of the answer.
     *
     * @param work the attempt that the event belongs to
     * @param version the software version of its server
     * @param allowed the time limit of the request
     */
    void eventReceived(AssignedWork work, SoftwareVersion version, Duration allowed, long now) {
        trace.eventReceived(version, now).ifPresent(gap -> placementPolicy.eventReceived(work, gap, now));
        placementPolicy.answerStreaming(service, trace.answerDuration(), allowed, now);
    }

    /** Records that the answer is complete. */
    void completed() {
        prompt.ifPresent(answered -> placementPolicy.answerCompleted(service, answered, trace.events()));
    }
}
