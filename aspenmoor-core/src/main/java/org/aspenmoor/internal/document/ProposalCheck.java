package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.finding.Finding;

/** Checks that the text of a proposal agrees with the team, service and revision of the proposal. */
final class ProposalCheck {
    private final DocumentProposal proposal;

    ProposalCheck(DocumentProposal proposal) {
        this.proposal = proposal;
    }

    /** Returns the checked document with the findings of this check added. */
    CheckedDocument check(CheckedDocument checked) {
        if (checked.located().isEmpty()) {
            return checked;
        }
        LocatedDocument located = checked.located().get();
        List<Finding> findings = new ArrayList<>(checked.findings());
        compare(located, "team", located.document().team(), proposal.name().team(), findings);
        compare(
                located,
                "service",
                located.document().service(),
                proposal.name().service(),
                findings);
        long written = located.document().revision();
        if (written != 0 && written != proposal.readRevision()) {
            findings.add(new Finding(
                    located.locations().locationOf("revision"),
                    "The revision " + written + " is not the one that the change is based on.",
                    "Remove the field, because the system sets it, or write " + proposal.readRevision() + "."));
        }
        return new CheckedDocument(checked.located(), findings);
    }

    private static void compare(
            LocatedDocument located, String field, String written, String requested, List<Finding> findings) {
        if (!written.isEmpty() && !written.equals(requested)) {
            findings.add(new Finding(
                    located.locations().locationOf(field),
                    "The document names the " + field + " \"" + written + "\", but the request is for \"" + requested
                            + "\".",
                    "Write \"" + requested + "\", or send the document to the service that it names."));
        }
    }
}
