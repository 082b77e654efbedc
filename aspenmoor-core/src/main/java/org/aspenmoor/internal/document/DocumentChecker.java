package org.aspenmoor.internal.document;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.Findings;

/** Reads a document from text and applies all checks, so that all mistakes are reported together. */
public final class DocumentChecker {
    private static final Comparator<Finding> BY_LOCATION = Comparator.comparingInt(
                    (Finding finding) -> finding.location().line())
            .thenComparingInt(finding -> finding.location().column());

    private final List<DocumentCheck> checks;

    public DocumentChecker(FleetView fleet) {
        this.checks = List.of(
                new NameCheck(),
                new DuplicateCheck(),
                new CallerTokenCheck(),
                new KindCheck(),
                new UnreachableKindCheck(),
                new BackendCheck(),
                new FleetCheck(fleet));
    }

    /**
     * Checks a text.
     *
     * @return the findings in the order of the text, and the document if the text is a JSON object
     */
    public CheckedDocument check(String source, String text) {
        Findings findings = new Findings();
        Optional<LocatedDocument> located = new DocumentReader(findings).readLocated(source, text);
        if (located.isPresent()) {
            for (DocumentCheck check : checks) {
                check.check(located.get(), findings);
            }
        }
        List<Finding> sorted =
                findings.all().stream().sorted(BY_LOCATION).distinct().toList();
        return new CheckedDocument(located, sorted);
    }
}
