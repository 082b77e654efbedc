package org.aspenmoor.internal.serving;

import java.util.List;
import org.aspenmoor.internal.serving.freshness.CollectionObservation;
import org.aspenmoor.internal.serving.share.ServiceDemand;

/**
 * What an entry has measured itself and reports to the other entries, each of which sees only a part of the requests.
 *
 * @param serverSpeeds the speeds of servers that it has requests at, or that stated their speed recently
 * @param serviceDemands the recent demand for the services that run requests of organisations
 * @param startDelays what it has observed of the start of answers since its last report
 * @param observations when and in which state it last read the collections that it follows in the store
 */
public record PeerMeasurements(
        List<ServerSpeed> serverSpeeds,
        List<ServiceDemand> serviceDemands,
        List<ObservedStartDelays> startDelays,
        List<CollectionObservation> observations) {
    /** Nothing was measured. */
    public static final PeerMeasurements NONE = new PeerMeasurements(List.of(), List.of(), List.of(), List.of());

    public PeerMeasurements {
        serverSpeeds = List.copyOf(serverSpeeds);
        serviceDemands = List.copyOf(serviceDemands);
        startDelays = List.copyOf(startDelays);
        observations = List.copyOf(observations);
    }
}
