package org.aspenmoor.internal.gateway.protocol;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.ReportedLoad;

/**
 * What the head of a backend server's answer tells.
 *
 * @param requestId the request it answers
 * @param signed whether it carries the server's signature
 * @param notExecuted whether the server says that it did not run the request and will not
 * @param load the server's load
 * @param idleLimit how long the server keeps an idle connection
 */
public record AnswerFacts(
        Optional<String> requestId,
        boolean signed,
        boolean notExecuted,
        Optional<ReportedLoad> load,
        Optional<Duration> idleLimit) {}
