package org.aspenmoor.internal.serving.share;

import org.aspenmoor.internal.dissemination.StableHash;

/**
 * The requests of one organisation that have the same priority.
 *
 * @param organisation a 64-bit hash of the organisation's name, or {@link #REST}
 * @param priority the priority of the requests, 0 being the highest
 */
record OrganisationClass(long organisation, int priority) {
    /** Stands for the organisations that are not listed one by one. */
    static final long REST = 0;

    /** Returns the class of an organisation's requests, given its name. */
    static OrganisationClass of(String name, int priority) {
        long hash = StableHash.of(name);
        return new OrganisationClass(hash == REST ? 1 : hash, priority);
    }

    boolean isRest() {
        return organisation == REST;
    }
}
