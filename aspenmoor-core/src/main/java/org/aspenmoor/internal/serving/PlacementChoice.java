package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;

/** Chooses among the servers that may serve a request; {@code now} is the monotonic clock in nanoseconds. */
final class PlacementChoice {
    private final Map<String, ServerEstimate> estimates;
    private final SendFilter sendFilter;

    /**
     * Creates an instance.
     *
     * @param estimates the known servers by id; changes to it are seen
     */
    PlacementChoice(Map<String, ServerEstimate> estimates, SendFilter sendFilter) {
        this.estimates = estimates;
        this.sendFilter = sendFilter;
    }

    /**
     * Chooses where a request runs.
     *
     * @param available the servers that may serve it
     */
    Placement choose(PlacementRequest request, List<ServerEstimate> available, ServerRanking ranking, long now) {
        List<ServerEstimate> usable = sendFilter.permitted(available, now);
        if (usable.isEmpty()) {
            return waitOrRefuse(request, available, ranking, now);
        }
        Placement best = request.prompt().isPresent()
                ? ranking.chooseEngines(request, request.prompt().get(), usable, now)
                : ranking.choosePlainServer(usable, now);
        if (best instanceof Placement.Refused && usable.size() < available.size()) {
            return waitOrRefuse(request, available, ranking, now);
        }
        boolean speedUnknown = request.prompt().isPresent() && !speedKnown(best);
        return speedUnknown ? best : QueueLimit.applyTo(best, request);
    }

    /** A prompt waits at this entry for an engine that takes requests again one by one; all else is refused. */
    private Placement waitOrRefuse(
            PlacementRequest request, List<ServerEstimate> available, ServerRanking ranking, long now) {
        boolean queues = request.mayQueue() && request.prompt().isPresent() && sendFilter.anyReturning(available, now);
        return queues
                ? ranking.queue(request.prompt().get(), available, now)
                : sendFilter.refuse(request, available, now);
    }

    private boolean speedKnown(Placement placement) {
        return switch (placement) {
            case Placement.SingleServer single ->
                estimates.get(single.server().id()).speedKnown();
            case Placement.Disaggregated disaggregated ->
                estimates.get(disaggregated.prefill().id()).speedKnown();
            case Placement.Queued queued -> true;
            case Placement.Refused refused -> true;
        };
    }
}
