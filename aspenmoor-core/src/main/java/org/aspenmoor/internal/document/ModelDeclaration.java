package org.aspenmoor.internal.document;

import java.util.List;

/**
 * A model that the service runs.
 *
 * @param name the name callers use
 * @param version the version to run
 * @param adapters adapters that may be asked for as {@code MODEL:ADAPTER}
 */
public record ModelDeclaration(String name, String version, List<AdapterDeclaration> adapters) {
    public ModelDeclaration {
        adapters = List.copyOf(adapters);
    }
}
