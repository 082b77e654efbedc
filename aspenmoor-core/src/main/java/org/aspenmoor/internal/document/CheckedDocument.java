package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;

/**
 * The result of checking a text.
 *
 * @param located the document; empty where the text is no JSON object
 * @param findings every mistake, in the order of the text
 */
public record CheckedDocument(Optional<LocatedDocument> located, List<Finding> findings) {
    public CheckedDocument {
        findings = List.copyOf(findings);
    }

    /** Returns the document, or throws all findings as one error. */
    public ServiceDocument orThrow(String subject) throws FindingsException {
        if (!findings.isEmpty() || located.isEmpty()) {
            throw new FindingsException(subject, findings);
        }
        return located.get().document();
    }
}
