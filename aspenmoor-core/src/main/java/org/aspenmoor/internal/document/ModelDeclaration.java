package org.aspenmoor.internal.document;

import java.util.List;

/**
 * A model that the service runs.
 *
 * @param name the name by which callers request it
 * @param version the version to run
 * @param adapters the adapters, which callers request as {@code MODEL:ADAPTER}
 */
public record ModelDeclaration(String name, String version, List<AdapterDeclaration> adapters) {
    public ModelDeclaration {
        adapters = List.copyOf(adapters);
    }
}
