package org.aspenmoor.internal.document;

import org.aspenmoor.internal.finding.Findings;

/** One group of rules about a document. */
interface DocumentCheck {
    /** Adds a finding, with its place in the text, for each rule that the document breaks. */
    void check(LocatedDocument located, Findings findings);
}
