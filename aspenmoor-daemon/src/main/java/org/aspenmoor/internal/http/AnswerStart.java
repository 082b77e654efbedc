package org.aspenmoor.internal.http;

import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.PlainAnswer;

/** The first part of an answer or its refusal; it determines the HTTP status. */
sealed interface AnswerStart {
    /** A streamed answer has started; its chunks follow. */
    record StreamStarted() implements AnswerStart {}

    /** A generated text is complete. */
    record CompleteText(String text, String finishReason, int promptTokens, int outputTokens) implements AnswerStart {}

    /** A plain service has answered. */
    record PlainServiceAnswer(PlainAnswer answer) implements AnswerStart {}

    /** The request did not run. */
    record Refused(Outcome.NotRun refusal) implements AnswerStart {}

    /** It is unknown whether the request ran. */
    record UnknownOutcome(Outcome.Unknown unknown) implements AnswerStart {}
}
