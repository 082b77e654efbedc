package org.aspenmoor.internal.finding;

import java.util.List;
import java.util.stream.Collectors;
import org.aspenmoor.AspenmoorException;

/** All findings of one check, reported together. */
public final class FindingsException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    public FindingsException(String subject, List<Finding> findings) {
        super(
                subject + " has " + findings.size() + (findings.size() == 1 ? " mistake." : " mistakes."),
                findings.stream()
                        .map(Finding::toString)
                        .collect(Collectors.joining(System.lineSeparator() + "         ")),
                "Correct each mistake listed above and check again; nothing was changed.");
        this.findings = List.copyOf(findings);
    }

    /** Returns the findings in the order of the check. */
    public List<Finding> findings() {
        return findings;
    }
}
