package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.finding.Finding;

/** What a proposal's text must agree on with the request that carries it. */
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
                    "The revision " + written + " was set by hand; the system counts it.",
                    "Remove the field, or leave the " + proposal.readRevision() + " that was read."));
        }
        return new CheckedDocument(checked.located(), findings);
    }

    private static void compare(
            LocatedDocument located, String field, String written, String requested, List<Finding> findings) {
        if (!written.isEmpty() && !written.equals(requested)) {
            findings.add(new Finding(
                    located.locations().locationOf(field),
                    "The document names the " + field + " \"" + written + "\", and the request is for \"" + requested
                            + "\".",
                    "Write \"" + requested + "\", or send it to its own service."));
        }
    }
}
