package org.aspenmoor.internal.organisation;

import java.util.List;

/**
 * The keys of one organisation; none if its callers are refused for now.
 *
 * @param organisation the organisation
 * @param keys all its keys, each of which is valid
 */
public record OrganisationKeys(Organisation organisation, List<ApiKey> keys) {
    public OrganisationKeys {
        keys = List.copyOf(keys);
    }
}
