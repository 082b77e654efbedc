package org.aspenmoor.internal.finding;

import java.util.ArrayList;
import java.util.List;

/** Collects findings, so that all of them are reported at once. */
public final class Findings {
    private final List<Finding> found = new ArrayList<>();

    /** Adds one finding. */
    public void add(SourceLocation location, String problem, String remedy) {
        found.add(new Finding(location, problem, remedy));
    }

    /** Returns all findings so far. */
    public List<Finding> all() {
        return List.copyOf(found);
    }

    /** Returns whether there are no findings. */
    public boolean isEmpty() {
        return found.isEmpty();
    }

    /**
     * Throws all findings as one exception if there are any.
     *
     * @param subject what was checked, as the start of the error message
     */
    public void throwIfAny(String subject) throws FindingsException {
        if (!found.isEmpty()) {
            throw new FindingsException(subject, all());
        }
    }
}
