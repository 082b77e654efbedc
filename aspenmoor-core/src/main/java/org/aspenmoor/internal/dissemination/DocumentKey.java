package org.aspenmoor.internal.dissemination;

import java.util.Comparator;

/**
 * Identifies a document.
 *
 * @param team the team that owns it
 * @param service the service it declares
 */
public record DocumentKey(String team, String service) {
    static final Comparator<DocumentKey> ORDER =
            Comparator.comparing(DocumentKey::team).thenComparing(DocumentKey::service);

    /** Returns a hash that is the same in every process. */
    public long stableHash() {
        return StableHash.of(team, service);
    }

    @Override
    public String toString() {
        return team + "/" + service;
    }
}
