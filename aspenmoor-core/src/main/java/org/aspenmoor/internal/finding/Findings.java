package org.aspenmoor.internal.finding;

import java.util.ArrayList;
import java.util.List;

/** Collects findings, so that a person sees all of them at once. */
public final class Findings {
    private final List<Finding> found = new ArrayList<>();

    /** Adds one finding. */
    public void add(SourceLocation location, String problem, String remedy) {
        found.add(new Finding(location, problem, remedy));
    }

    /** Returns what was found so far. */
    public List<Finding> all() {
        return List.copyOf(found);
    }

    /** Says whether nothing was found. */
    public boolean isEmpty() {
        return found.isEmpty();
    }

    /** Ends the check: throws all findings as one error, if there are any. */
    public void throwIfAny(String subject) throws FindingsException {
        if (!found.isEmpty()) {
            throw new FindingsException(subject, all());
        }
    }
}
