package org.aspenmoor.internal.document;

import java.util.Optional;
import java.util.stream.Collectors;

/** Describes changes and their effects on engines in sentences. */
final class DocumentChangeDescription {
    private DocumentChangeDescription() {}

    static String describe(DocumentChange change) {
        return switch (change) {
            case DocumentChange.ModelAdded added ->
                "Model " + added.model().name() + " is added in version "
                        + added.model().version() + ".";
            case DocumentChange.ModelRemoved removed ->
                "Model " + removed.model().name() + " is removed.";
            case DocumentChange.ModelVersionChanged changed ->
                "Model " + changed.model() + " goes from version " + changed.before() + " to " + changed.after() + ".";
            case DocumentChange.AdapterAdded added ->
                "Adapter " + added.model() + ":" + added.adapter().name() + " is added in version "
                        + added.adapter().version() + ".";
            case DocumentChange.AdapterRemoved removed ->
                "Adapter " + removed.model() + ":" + removed.adapter().name() + " is removed.";
            case DocumentChange.AdapterVersionChanged changed ->
                "Adapter " + changed.model() + ":" + changed.adapter() + " goes from version " + changed.before()
                        + " to " + changed.after() + ".";
            case DocumentChange.KindAdded added -> kindAdded(added.kind());
            case DocumentChange.KindRemoved removed -> "Kind " + removed.kind().name() + " is removed.";
            case DocumentChange.KindChanged changed ->
                "Kind " + changed.kind() + " changes: "
                        + changed.fields().stream().map(FieldChange::toString).collect(Collectors.joining(", ")) + ".";
            case DocumentChange.KindsReordered reordered ->
                "Kinds are matched in the order " + String.join(", ", reordered.order()) + ".";
            case DocumentChange.RoleChangePriceChanged changed ->
                "The price of a role change goes from " + MessageText.number(changed.before()) + " to "
                        + MessageText.number(changed.after()) + ".";
            case DocumentChange.CallerTokensChanged changed ->
                "Caller tokens: " + changed.added() + " added, " + changed.removed() + " removed.";
            case DocumentChange.BackendAdded added ->
                noun(added.backend()) + " is added in " + added.backend().dataCentre() + ".";
            case DocumentChange.BackendWithdrawn withdrawn -> noun(withdrawn.backend()) + " is withdrawn.";
            case DocumentChange.BackendRedeclared redeclared -> redeclared(redeclared);
        };
    }

    static Optional<String> engineEffect(DocumentChange change) {
        return switch (change) {
            case DocumentChange.ModelAdded added ->
                Optional.of("Engines load " + added.model().name() + "@"
                        + added.model().version() + " from the weight store, a few at a time.");
            case DocumentChange.ModelRemoved removed ->
                Optional.of("Engines keep " + removed.model().name()
                        + " until its running streams have finished; new requests for it are refused.");
            case DocumentChange.ModelVersionChanged changed ->
                Optional.of("Engines load " + changed.model() + "@" + changed.after()
                        + " a few at a time; running streams finish with version " + changed.before() + ".");
            case DocumentChange.AdapterAdded added ->
                Optional.of("Engines load adapter " + added.model() + ":"
                        + added.adapter().name() + "@" + added.adapter().version() + ".");
            case DocumentChange.AdapterRemoved removed ->
                Optional.of("Engines unload adapter " + removed.model() + ":"
                        + removed.adapter().name() + " once its streams have finished.");
            case DocumentChange.AdapterVersionChanged changed ->
                Optional.of("Engines load adapter " + changed.model() + ":" + changed.adapter() + "@" + changed.after()
                        + " a few at a time; running streams finish with version " + changed.before() + ".");
            case DocumentChange.RoleChangePriceChanged changed ->
                Optional.of(
                        changed.after() > changed.before()
                                ? "Engines change role less often."
                                : "Engines change role more often.");
            case DocumentChange.BackendAdded added -> backendAdded(added.backend());
            case DocumentChange.BackendWithdrawn withdrawn ->
                Optional.of(
                        withdrawn.backend().name()
                                + " receives no new requests after a few seconds, finishes its running requests, and is released.");
            case DocumentChange.BackendRedeclared redeclared -> redeclaredEffect(redeclared);
            case DocumentChange.KindAdded added -> Optional.empty();
            case DocumentChange.KindRemoved removed -> Optional.empty();
            case DocumentChange.KindChanged changed -> Optional.empty();
            case DocumentChange.KindsReordered reordered -> Optional.empty();
            case DocumentChange.CallerTokensChanged changed -> Optional.empty();
        };
    }

    private static String kindAdded(RequestKind kind) {
        return "Kind " + kind.name() + " is added: weight " + MessageText.number(kind.weight()) + ", deadline "
                + MessageText.seconds(kind.deadline()) + (kind.idempotent() ? "." : ", non-idempotent.");
    }

    private static Optional<String> backendAdded(BackendDeclaration backend) {
        return switch (backend) {
            case BackendDeclaration.EngineDeclaration engine ->
                Optional.of(engine.name() + " loads the service's models, then receives requests.");
            case BackendDeclaration.PlainServiceDeclaration plain -> Optional.empty();
        };
    }

    private static String redeclared(DocumentChange.BackendRedeclared change) {
        if (!change.before().getClass().equals(change.after().getClass())) {
            return noun(change.before()) + " becomes " + noun(change.after()) + ".";
        }
        if (!change.before().dataCentre().equals(change.after().dataCentre())) {
            return noun(change.before()) + " moves from " + change.before().dataCentre() + " to "
                    + change.after().dataCentre() + ".";
        }
        return noun(change.after()) + (checksFencing(change.after()) ? " checks" : " no longer checks")
                + " fencing numbers.";
    }

    private static Optional<String> redeclaredEffect(DocumentChange.BackendRedeclared change) {
        boolean wasChecking = checksFencing(change.before());
        boolean isChecking = checksFencing(change.after());
        if (wasChecking == isChecking) {
            return Optional.empty();
        }
        return Optional.of(
                isChecking
                        ? "Its agent relies on the engine to refuse outdated orders."
                        : "Its agent waits until the slot lease has expired before it gives the first order.");
    }

    private static boolean checksFencing(BackendDeclaration backend) {
        return switch (backend) {
            case BackendDeclaration.EngineDeclaration engine -> engine.checksFencingNumbers();
            case BackendDeclaration.PlainServiceDeclaration plain -> false;
        };
    }

    private static String noun(BackendDeclaration backend) {
        return switch (backend) {
            case BackendDeclaration.EngineDeclaration engine -> "Engine " + engine.name();
            case BackendDeclaration.PlainServiceDeclaration plain -> "Plain service " + plain.name();
        };
    }
}
