package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.Optional;

/** A fleet view without information, for checks of a file without a connection to the fleet. */
public final class UnknownFleetView implements FleetView {
    @Override
    public Optional<Boolean> hasDataCentre(String name) {
        return Optional.empty();
    }

    @Override
    public Optional<String> dataCentreOf(String backend) {
        return Optional.empty();
    }

    @Override
    public Optional<ServiceName> ownerOf(String backend) {
        return Optional.empty();
    }

    @Override
    public Optional<ServiceName> otherServiceOfModel(ServiceName service, String model) {
        return Optional.empty();
    }

    @Override
    public Optional<Boolean> isTokenOfOtherTeam(String team, String tokenHash) {
        return Optional.empty();
    }

    @Override
    public Optional<Boolean> hasModelVersion(String model, String version) {
        return Optional.empty();
    }

    @Override
    public Optional<Boolean> hasMemoryFor(String engine, String model) {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> minTokenInterval(String model) {
        return Optional.empty();
    }
}
