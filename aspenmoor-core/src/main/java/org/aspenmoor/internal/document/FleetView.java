package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.Optional;

/** The state of the fleet that documents are checked against. An empty result means that the answer is unknown. */
public interface FleetView {
    /** Returns whether the platform has a data centre of this name. */
    Optional<Boolean> hasDataCentre(String name);

    /** Returns the data centre in which a backend server runs according to the platform. */
    Optional<String> dataCentreOf(String backend);

    /** Returns the service whose document in force declares a backend server. */
    Optional<ServiceName> ownerOf(String backend);

    /** Returns another service of the team whose document in force declares a model of this name. */
    Optional<ServiceName> otherServiceOfModel(ServiceName service, String model);

    /** Returns whether a document in force of another team lists the hash of a caller token. */
    Optional<Boolean> isTokenOfOtherTeam(String team, String tokenHash);

    /** Returns whether the weight store has a version of a model. */
    Optional<Boolean> hasModelVersion(String model, String version);

    /** Returns whether an engine has enough memory for a model. */
    Optional<Boolean> hasMemoryFor(String engine, String model);

    /** Returns the shortest time that any engine of the fleet needs to generate one token with a model. */
    Optional<Duration> minTokenInterval(String model);
}
