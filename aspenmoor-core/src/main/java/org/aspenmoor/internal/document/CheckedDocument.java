package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;

/**
 * The result of checking the text of a document.
 *
 * @param located the document; empty if the text is not a JSON object
 * @param findings all mistakes, in the order of the text
 */
public record CheckedDocument(Optional<LocatedDocument> located, List<Finding> findings) {
    public CheckedDocument {
        findings = List.copyOf(findings);
    }

    /**
     * Returns the document if there are no findings.
     *
     * @param subject what was checked, as the start of the error message
     * @throws FindingsException with all findings, if there are any
     */
    public ServiceDocument orThrow(String subject) throws FindingsException {
        if (!findings.isEmpty() || located.isEmpty()) {
            throw new FindingsException(subject, findings);
        }
        return located.get().document();
    }
}
