package org.aspenmoor.internal.dissemination;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The processes that one process talks to about documents.
 *
 * @param relay whether this process watches the store
 * @param pushTargets who is given every new document
 * @param repairPartners who is asked in turn whether both know the same
 */
public record Neighbours(boolean relay, List<String> pushTargets, List<String> repairPartners) {
    public Neighbours {
        pushTargets = List.copyOf(pushTargets);
        repairPartners = List.copyOf(repairPartners);
    }

    /** Returns all processes this one opens or keeps a link to. */
    public Set<String> links() {
        Set<String> links = new LinkedHashSet<>(pushTargets);
        links.addAll(repairPartners);
        return links;
    }
}
