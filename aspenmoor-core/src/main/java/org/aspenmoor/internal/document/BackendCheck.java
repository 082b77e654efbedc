package org.aspenmoor.internal.document;

import org.aspenmoor.internal.finding.Findings;

/** Checks that models have engines, that plain calls have plain services, and that declared engines have models. */
final class BackendCheck implements DocumentCheck {
    @Override
    public void check(LocatedDocument located, Findings findings) {
        ServiceDocument document = located.document();
        LocationIndex locations = located.locations();
        boolean hasModels = !document.models().isEmpty();
        boolean hasEngines =
                document.backends().stream().anyMatch(BackendDeclaration.EngineDeclaration.class::isInstance);
        boolean hasPlainServices =
                document.backends().stream().anyMatch(BackendDeclaration.PlainServiceDeclaration.class::isInstance);
        if (hasModels && !hasEngines) {
            findings.add(
                    locations.locationOf("engines"), "The service has models but no engine.", "Declare an engine.");
        }
        if (hasEngines && !hasModels) {
            findings.add(locations.locationOf("models"), "The service has engines but no model.", "Declare a model.");
        }
        if (!hasEngines && !hasPlainServices && !hasModels) {
            findings.add(
                    locations.locationOf(""),
                    "The service has no backend server.",
                    "Declare engines with models, or plain services.");
        }
        for (int index = 0; index < document.kinds().size(); index++) {
            RequestKind kind = document.kinds().get(index);
            String path = "kinds[" + index + "].match";
            switch (RequestCategory.of(kind, document)) {
                case GENERATION -> {
                    if (!hasModels) {
                        findings.add(
                                locations.locationOf(path),
                                "The kind \"" + kind.name() + "\" matches generations, but no model is declared.",
                                "Declare a model and engines.");
                    }
                }
                case PLAIN_CALL -> {
                    if (!hasPlainServices) {
                        findings.add(
                                locations.locationOf(path),
                                "The kind \"" + kind.name()
                                        + "\" matches plain calls, but no plain service is declared.",
                                "Declare a plain service, or give the kind a model and longestOutputTokens.");
                    }
                }
            }
        }
    }
}
