package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Findings;

/** Checks that what a document refers to exists in the fleet, suffices, and does not belong to another team or service. */
final class FleetCheck implements DocumentCheck {
    private final FleetView fleet;

    FleetCheck(FleetView fleet) {
        this.fleet = fleet;
    }

    @Override
    public void check(LocatedDocument located, Findings findings) {
        for (DeclaredBackend backend : DeclaredBackend.allOf(located.document())) {
            checkBackend(backend, located, findings);
        }
        checkTokens(located, findings);
        List<ModelDeclaration> models = located.document().models();
        for (int index = 0; index < models.size(); index++) {
            checkModel("models[" + index + "]", models.get(index), located, findings);
        }
        List<RequestKind> kinds = located.document().kinds();
        for (int index = 0; index < kinds.size(); index++) {
            checkDeadline("kinds[" + index + "]", kinds.get(index), located, findings);
        }
    }

    private void checkBackend(DeclaredBackend backend, LocatedDocument located, Findings findings) {
        String name = backend.declaration().name();
        String dataCentre = backend.declaration().dataCentre();
        Optional<String> actual = fleet.dataCentreOf(name);
        if (fleet.hasDataCentre(dataCentre).filter(known -> !known).isPresent()) {
            findings.add(
                    located.locations().locationOf(backend.path() + ".dataCentre"),
                    "The platform has no data centre \"" + dataCentre + "\".",
                    "Write the name used in the settings of the hosts.");
        } else if (actual.filter(found -> !found.equals(dataCentre)).isPresent()) {
            findings.add(
                    located.locations().locationOf(backend.path() + ".dataCentre"),
                    "The backend server \"" + name + "\" stands in \"" + actual.get() + "\".",
                    "Write \"" + actual.get() + "\".");
        }
        ServiceName service = ServiceName.of(located.document());
        Optional<ServiceName> owner = fleet.ownerOf(name).filter(other -> !other.equals(service));
        if (owner.isPresent()) {
            findings.add(
                    located.locations().locationOf(backend.path() + ".name"),
                    "The backend server \"" + name + "\" is declared by " + displayName(owner.get(), service) + ".",
                    "Have it withdrawn there first, or remove it here.");
        }
    }

    /** Returns the name of the owner only to its own team, because a team must not see the services of another team. */
    private static String displayName(ServiceName owner, ServiceName requester) {
        return owner.team().equals(requester.team()) ? owner.toString() : "another team";
    }

    private void checkTokens(LocatedDocument located, Findings findings) {
        List<String> hashes = located.document().callerTokenHashes();
        for (int index = 0; index < hashes.size(); index++) {
            boolean usedByOtherTeam = fleet.isTokenOfOtherTeam(
                            located.document().team(), hashes.get(index))
                    .orElse(false);
            if (usedByOtherTeam) {
                findings.add(
                        located.locations().locationOf("callerTokenHashes[" + index + "]"),
                        "Another team uses this token too, so a request with it could reach either team.",
                        "Create a new token for the callers of this service.");
            }
        }
    }

    private void checkModel(String path, ModelDeclaration model, LocatedDocument located, Findings findings) {
        Optional<ServiceName> other = fleet.otherServiceOfModel(ServiceName.of(located.document()), model.name());
        if (other.isPresent()) {
            findings.add(
                    located.locations().locationOf(path + ".name"),
                    "The model \"" + model.name() + "\" is also declared by " + other.get()
                            + ", so a request could reach either service.",
                    "Rename it in one of the two documents.");
        }
        if (fleet.hasModelVersion(model.name(), model.version())
                .filter(known -> !known)
                .isPresent()) {
            findings.add(
                    located.locations().locationOf(path + ".version"),
                    "The weight store has no version \"" + model.version() + "\" of \"" + model.name() + "\".",
                    "Upload it first, or write a version that exists there.");
        }
        List<Optional<Boolean>> answers = located.document().backends().stream()
                .filter(BackendDeclaration.EngineDeclaration.class::isInstance)
                .map(engine -> fleet.hasMemoryFor(engine.name(), model.name()))
                .toList();
        boolean noEngineHasMemory = answers.stream().allMatch(answer -> answer.isPresent() && !answer.get());
        if (!answers.isEmpty() && noEngineHasMemory) {
            findings.add(
                    located.locations().locationOf(path + ".name"),
                    "No engine of the service has enough memory for the model \"" + model.name() + "\".",
                    "Declare an engine with more memory, or remove the model.");
        }
    }

    private void checkDeadline(String path, RequestKind kind, LocatedDocument located, Findings findings) {
        Optional<Duration> tokenInterval = kind.match().model().flatMap(fleet::minTokenInterval);
        if (tokenInterval.isEmpty()) {
            return;
        }
        Duration needed = tokenInterval.get().multipliedBy(kind.longestOutputTokens());
        if (needed.compareTo(kind.deadline()) > 0) {
            findings.add(
                    located.locations().locationOf(path + ".deadlineSeconds"),
                    "The longest answer takes " + MessageText.seconds(needed) + " on the fleet's fastest engine.",
                    "Write a longer deadline or a smaller longestOutputTokens.");
        }
    }
}
