package org.aspenmoor.internal.document;

import org.aspenmoor.internal.finding.Findings;

/** A group of rules that a document must satisfy. */
interface DocumentCheck {
    /** Adds a finding, with its location in the text, for each rule that the document violates. */
    void check(LocatedDocument located, Findings findings);
}
