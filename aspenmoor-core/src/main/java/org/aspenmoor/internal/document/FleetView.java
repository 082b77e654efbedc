package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.Optional;

/** What a document is checked against beside its own text; empty answers mean that nothing is known. */
public interface FleetView {
    /** Says whether the platform has a data centre of this name. */
    Optional<Boolean> hasDataCentre(String name);

    /** Returns the data centre in which a backend server stands according to the platform. */
    Optional<String> dataCentreOf(String backend);

    /** Returns the service whose document in force declares a backend server. */
    Optional<ServiceName> ownerOf(String backend);

    /** Returns another service of the team whose document in force declares a model of this name. */
    Optional<ServiceName> otherServiceOfModel(ServiceName self, String model);

    /** Says whether a document in force of another team lists a caller token's hash. */
    Optional<Boolean> isTokenOfOtherTeam(String team, String tokenHash);

    /** Says whether the weight store has a version of a model. */
    Optional<Boolean> hasModelVersion(String model, String version);

    /** Says whether an engine's memory can hold a model. */
    Optional<Boolean> hasMemoryFor(String engine, String model);

    /** Returns the shortest time in which any engine of the fleet generates one token of a model. */
    Optional<Duration> minTokenInterval(String model);
}
