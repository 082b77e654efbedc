package org.aspenmoor.internal.gateway.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.LastingSlowdown;
import org.aspenmoor.internal.serving.LearnedSlowdown;
import org.aspenmoor.internal.serving.ObservedStartDelays;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.StatedSlowdown;
import org.aspenmoor.internal.serving.freshness.CollectionObservation;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.share.OrganisationDemand;
import org.aspenmoor.internal.serving.share.ServiceDemand;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/**
 * Writes and reads the measurements in reports between entries. Items with figures that no entry measures, such as a
 * negative rate, are left out, and the rest of the report counts.
 */
final class MeasurementCodec {
    private MeasurementCodec() {}

    static void serialise(PeerMeasurements measurements, PeerLoad.Builder report) {
        measurements.serverSpeeds().forEach(speed -> report.addServerSpeeds(serialise(speed)));
        measurements.serviceDemands().forEach(demand -> report.addServiceDemands(serialise(demand)));
        measurements.startDelays().forEach(delays -> report.addStartDelays(serialise(delays)));
        measurements.observations().forEach(observation -> report.addObservations(serialise(observation)));
    }

    static PeerMeasurements parse(PeerLoad report) {
        return new PeerMeasurements(
                parseSpeeds(report), parseDemands(report), parseStartDelays(report), parseObservations(report));
    }

    private static PeerLoad.ServerSpeed serialise(ServerSpeed speed) {
        PeerLoad.ServerSpeed.Builder message =
                PeerLoad.ServerSpeed.newBuilder().setServer(speed.server()).setStartedAt(speed.startedAt());
        speed.stated()
                .ifPresent(stated -> message.setStatedFactor((float) stated.factor())
                        .setStatedAgeMilliseconds((int) stated.age().toMillis()));
        speed.lasting()
                .ifPresent(lasting ->
                        message.setLastingFactor((float) lasting.factor()).setLastingStatements(lasting.statements()));
        speed.learned()
                .ifPresent(learned -> message.setLearnedFactor((float) learned.factor())
                        .setLearnedAnswers((float) learned.answers()));
        return message.build();
    }

    private static List<ServerSpeed> parseSpeeds(PeerLoad report) {
        return report.getServerSpeedsList().stream()
                .map(message -> new ServerSpeed(
                        message.getServer(),
                        message.getStartedAt(),
                        stated(message),
                        lasting(message),
                        learned(message)))
                .toList();
    }

    private static Optional<StatedSlowdown> stated(PeerLoad.ServerSpeed message) {
        boolean usable = message.hasStatedFactor() && isFactor(message.getStatedFactor());
        Duration age = Duration.ofMillis(Integer.toUnsignedLong(message.getStatedAgeMilliseconds()));
        return usable ? Optional.of(new StatedSlowdown(message.getStatedFactor(), age)) : Optional.empty();
    }

    private static Optional<LastingSlowdown> lasting(PeerLoad.ServerSpeed message) {
        boolean usable = message.hasLastingFactor()
                && isFactor(message.getLastingFactor())
                && message.getLastingStatements() > 0;
        return usable
                ? Optional.of(new LastingSlowdown(message.getLastingFactor(), message.getLastingStatements()))
                : Optional.empty();
    }

    private static Optional<LearnedSlowdown> learned(PeerLoad.ServerSpeed message) {
        boolean usable = message.hasLearnedFactor()
                && isFactor(message.getLearnedFactor())
                && isRate(message.getLearnedAnswers());
        return usable
                ? Optional.of(new LearnedSlowdown(message.getLearnedFactor(), message.getLearnedAnswers()))
                : Optional.empty();
    }

    private static PeerLoad.ServiceDemand serialise(ServiceDemand demand) {
        PeerLoad.ServiceDemand.Builder message = PeerLoad.ServiceDemand.newBuilder()
                .setService(demand.service())
                .setCompletedPerSecond((float) demand.completedPerSecond())
                .setTurnedAwayPerSecond((float) demand.turnedAwayPerSecond());
        demand.organisations()
                .forEach(each -> message.addOrganisations(PeerLoad.ServiceDemand.Organisation.newBuilder()
                        .setOrganisation(each.organisation())
                        .setPriority(each.priority())
                        .setWorkPerSecond((float) each.workPerSecond())));
        return message.build();
    }

    private static List<ServiceDemand> parseDemands(PeerLoad report) {
        List<ServiceDemand> demands = new ArrayList<>();
        for (PeerLoad.ServiceDemand message : report.getServiceDemandsList()) {
            if (!isRate(message.getCompletedPerSecond()) || !isRate(message.getTurnedAwayPerSecond())) {
                continue;
            }
            List<OrganisationDemand> organisations = message.getOrganisationsList().stream()
                    .filter(each -> isRate(each.getWorkPerSecond()) && each.getPriority() >= 0)
                    .map(each ->
                            new OrganisationDemand(each.getOrganisation(), each.getPriority(), each.getWorkPerSecond()))
                    .toList();
            demands.add(new ServiceDemand(
                    message.getService(),
                    organisations,
                    message.getCompletedPerSecond(),
                    message.getTurnedAwayPerSecond()));
        }
        return demands;
    }

    private static PeerLoad.StartDelays serialise(ObservedStartDelays delays) {
        return PeerLoad.StartDelays.newBuilder()
                .setService(delays.service())
                .setRole(delays.role().ordinal())
                .setAnswers(delays.answers())
                .setWorkWeight((float) delays.workWeight())
                .setWorkFactor((float) delays.workFactor())
                .setFixedWeight((float) delays.fixedWeight())
                .setFixedSeconds((float) delays.fixedSeconds())
                .build();
    }

    private static List<ObservedStartDelays> parseStartDelays(PeerLoad report) {
        EngineRole[] roles = EngineRole.values();
        return report.getStartDelaysList().stream()
                .filter(message -> message.getRole() >= 0
                        && message.getRole() < roles.length
                        && message.getAnswers() > 0
                        && isRate(message.getWorkWeight())
                        && isFactor(message.getWorkFactor())
                        && isRate(message.getFixedWeight())
                        && isFactor(message.getFixedSeconds()))
                .map(message -> new ObservedStartDelays(
                        message.getService(),
                        roles[message.getRole()],
                        message.getAnswers(),
                        message.getWorkWeight(),
                        message.getWorkFactor(),
                        message.getFixedWeight(),
                        message.getFixedSeconds()))
                .toList();
    }

    private static PeerLoad.Observation serialise(CollectionObservation observation) {
        return PeerLoad.Observation.newBuilder()
                .setCollection(observation.collection().ordinal())
                .setGeneration(observation.generation())
                .setDigest(observation.digest())
                .setAgeMilliseconds((int) observation.age().toMillis())
                .build();
    }

    private static List<CollectionObservation> parseObservations(PeerLoad report) {
        ObservedCollection[] collections = ObservedCollection.values();
        return report.getObservationsList().stream()
                .filter(message -> message.getCollection() >= 0 && message.getCollection() < collections.length)
                .map(message -> new CollectionObservation(
                        collections[message.getCollection()],
                        message.getGeneration(),
                        message.getDigest(),
                        Duration.ofMillis(Integer.toUnsignedLong(message.getAgeMilliseconds()))))
                .toList();
    }

    private static boolean isFactor(double number) {
        return Double.isFinite(number) && number > 0;
    }

    private static boolean isRate(double number) {
        return Double.isFinite(number) && number >= 0;
    }
}
