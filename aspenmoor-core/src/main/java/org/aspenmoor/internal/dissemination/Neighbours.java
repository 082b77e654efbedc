package org.aspenmoor.internal.dissemination;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The processes with which one process exchanges documents.
 *
 * @param relay whether this process watches the store
 * @param pushTargets the processes to which every new document is sent
 * @param repairPartners the processes with which the known revisions are compared, in turn
 */
public record Neighbours(boolean relay, List<String> pushTargets, List<String> repairPartners) {
    public Neighbours {
        pushTargets = List.copyOf(pushTargets);
        repairPartners = List.copyOf(repairPartners);
    }

    /** Returns all processes to which this process keeps a link. */
    public Set<String> links() {
        Set<String> links = new LinkedHashSet<>(pushTargets);
        links.addAll(repairPartners);
        return links;
    }
}
