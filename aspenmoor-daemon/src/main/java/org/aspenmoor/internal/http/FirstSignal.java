package org.aspenmoor.internal.http;

import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.PlainAnswer;

/** The first thing that is known about an answer; it decides the HTTP status. */
sealed interface FirstSignal {
    /** Pieces follow. */
    record StreamBegins() implements FirstSignal {}

    /** A generation is whole. */
    record WholeText(String text, String finishReason, int promptTokens, int outputTokens) implements FirstSignal {}

    /** A plain service answered. */
    record Plain(PlainAnswer answer) implements FirstSignal {}

    /** The request did not run. */
    record Refused(Outcome.NotRun refusal) implements FirstSignal {}

    /** Nobody knows. */
    record Lost(Outcome.Unknown unknown) implements FirstSignal {}
}
