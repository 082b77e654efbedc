package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;

/** The service and kind that a request was matched to. */
sealed interface RequestMatch {
    /** The request matches a kind of a service. */
    record Found(ServiceDocument document, RequestKind kind) implements RequestMatch {}

    /** The request matches no service or kind. */
    record NoMatch(Outcome.NotRun refusal) implements RequestMatch {}
}
