package org.aspenmoor.internal.http;

import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.PlainAnswer;

/** The first thing that is known about an answer; it decides the HTTP status. */
sealed interface AnswerStart {
    /** Pieces follow. */
    record StreamStarted() implements AnswerStart {}

    /** A generation is whole. */
    record CompleteText(String text, String finishReason, int promptTokens, int outputTokens) implements AnswerStart {}

    /** A plain service answered. */
    record PlainServiceAnswer(PlainAnswer answer) implements AnswerStart {}

    /** The request did not run. */
    record Refused(Outcome.NotRun refusal) implements AnswerStart {}

    /** Nobody knows. */
    record UnknownOutcome(Outcome.Unknown unknown) implements AnswerStart {}
}
