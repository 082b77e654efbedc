package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;

/** Which service and kind a request belongs to. */
sealed interface RequestMatch {
    /** It belongs to a kind of a service. */
    record Found(ServiceDocument document, RequestKind kind) implements RequestMatch {}

    /** It belongs nowhere. */
    record NoMatch(Outcome.NotRun refusal) implements RequestMatch {}
}
