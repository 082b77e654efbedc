package org.aspenmoor.internal.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.SourceLocation;

/** Checks that the names of models, adapters, kinds and backend servers and the token hashes are unique. */
final class DuplicateCheck implements DocumentCheck {
    @Override
    public void check(LocatedDocument located, Findings findings) {
        ServiceDocument document = located.document();
        UniqueNames models = new UniqueNames("model", located.locations(), findings);
        for (int index = 0; index < document.models().size(); index++) {
            ModelDeclaration model = document.models().get(index);
            models.add("models[" + index + "].name", model.name());
            checkAdapters("models[" + index + "]", model, located.locations(), findings);
        }
        UniqueNames kinds = new UniqueNames("kind", located.locations(), findings);
        for (int index = 0; index < document.kinds().size(); index++) {
            kinds.add("kinds[" + index + "].name", document.kinds().get(index).name());
        }
        UniqueNames backends = new UniqueNames("backend server", located.locations(), findings);
        for (DeclaredBackend backend : DeclaredBackend.allOf(document)) {
            backends.add(backend.path() + ".name", backend.declaration().name());
        }
        UniqueNames hashes = new UniqueNames("token hash", located.locations(), findings);
        List<String> tokenHashes = document.callerTokenHashes();
        for (int index = 0; index < tokenHashes.size(); index++) {
            hashes.add("callerTokenHashes[" + index + "]", tokenHashes.get(index));
        }
    }

    private static void checkAdapters(String path, ModelDeclaration model, LocationIndex locations, Findings findings) {
        UniqueNames adapters = new UniqueNames("adapter of " + model.name(), locations, findings);
        for (int index = 0; index < model.adapters().size(); index++) {
            String adapterPath = path + ".adapters[" + index + "].name";
            adapters.add(adapterPath, model.adapters().get(index).name());
        }
    }

    /** The first location of each name of one type of item. */
    private static final class UniqueNames {
        private final String itemType;
        private final LocationIndex locations;
        private final Findings findings;
        private final Map<String, SourceLocation> firstLocations = new HashMap<>();

        UniqueNames(String itemType, LocationIndex locations, Findings findings) {
            this.itemType = itemType;
            this.locations = locations;
            this.findings = findings;
        }

        void add(String path, String name) {
            if (name.isEmpty()) {
                return;
            }
            SourceLocation location = locations.locationOf(path);
            SourceLocation earlier = firstLocations.putIfAbsent(name, location);
            if (earlier != null) {
                findings.add(
                        location,
                        "The " + itemType + " \"" + name + "\" is already declared in line " + earlier.line() + ".",
                        "Rename or remove one of the two.");
            }
        }
    }
}
