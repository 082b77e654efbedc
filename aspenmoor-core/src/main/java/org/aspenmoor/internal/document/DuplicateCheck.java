package org.aspenmoor.internal.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.Place;

/** Names must tell their bearers apart. */
final class DuplicateCheck implements DocumentCheck {
    @Override
    public void check(LocatedDocument located, Findings findings) {
        ServiceDocument document = located.document();
        Register models = new Register("model", located.places(), findings);
        for (int index = 0; index < document.models().size(); index++) {
            ModelDeclaration model = document.models().get(index);
            models.add("models[" + index + "].name", model.name());
            checkAdapters("models[" + index + "]", model, located.places(), findings);
        }
        Register kinds = new Register("kind", located.places(), findings);
        for (int index = 0; index < document.kinds().size(); index++) {
            kinds.add("kinds[" + index + "].name", document.kinds().get(index).name());
        }
        Register backends = new Register("backend server", located.places(), findings);
        for (DeclaredBackend backend : DeclaredBackend.all(document)) {
            backends.add(backend.path() + ".name", backend.declaration().name());
        }
        Register hashes = new Register("token hash", located.places(), findings);
        List<String> tokenHashes = document.callerTokenHashes();
        for (int index = 0; index < tokenHashes.size(); index++) {
            hashes.add("callerTokenHashes[" + index + "]", tokenHashes.get(index));
        }
    }

    private static void checkAdapters(String path, ModelDeclaration model, PlaceIndex places, Findings findings) {
        Register adapters = new Register("adapter of " + model.name(), places, findings);
        for (int index = 0; index < model.adapters().size(); index++) {
            String adapterPath = path + ".adapters[" + index + "].name";
            adapters.add(adapterPath, model.adapters().get(index).name());
        }
    }

    /** Remembers where each name stood first. */
    private static final class Register {
        private final String bearer;
        private final PlaceIndex places;
        private final Findings findings;
        private final Map<String, Place> first = new HashMap<>();

        Register(String bearer, PlaceIndex places, Findings findings) {
            this.bearer = bearer;
            this.places = places;
            this.findings = findings;
        }

        void add(String path, String name) {
            if (name.isEmpty()) {
                return;
            }
            Place place = places.placeOf(path);
            Place earlier = first.putIfAbsent(name, place);
            if (earlier != null) {
                findings.add(
                        place,
                        "The " + bearer + " \"" + name + "\" stands already in line " + earlier.line() + ".",
                        "Rename or remove one of the two.");
            }
        }
    }
}
