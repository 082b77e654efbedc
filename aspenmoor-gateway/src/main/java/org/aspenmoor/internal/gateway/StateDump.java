package org.aspenmoor.internal.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.gateway.usage.UsageTracker;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ServerSummary;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.serving.limit.LimitSummary;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;
import org.aspenmoor.internal.serving.share.ShareSummary;

/** Creates a snapshot of an entry's state as JSON for operators. Confined to the event loop. */
final class StateDump {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final String process;
    private final ServingState state;
    private final CallerServer callers;
    private final BackendConnections connections;
    private final GracefulStop gracefulStop;
    private final FatalRequestTracker fatalRequests;
    private final Optional<UsageTracker> usage;
    private final StreamOriginTracker origins;

    StateDump(
            String process,
            ServingState state,
            CallerServer callers,
            BackendConnections connections,
            GracefulStop gracefulStop,
            FatalRequestTracker fatalRequests,
            Optional<UsageTracker> usage,
            StreamOriginTracker origins) {
        this.process = process;
        this.state = state;
        this.callers = callers;
        this.connections = connections;
        this.gracefulStop = gracefulStop;
        this.fatalRequests = fatalRequests;
        this.usage = usage;
        this.origins = origins;
    }

    ObjectNode create() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        dump.put("process", process);
        dump.put("ready", state.ready());
        dump.put("stopping", gracefulStop.begun());
        dump.put(
                "configuration",
                state.configuration().map(ServingConfiguration::version).orElse(-1L));
        dump.put("otherEntries", state.peerCount());
        dump.put("callerConnections", callers.openConnections());
        dump.put("requests", callers.servedRequests());
        dump.put("connectionsOpened", connections.openedTotal());
        dump.put("quarantinedRequests", fatalRequests.quarantinedCount());
        dump.put("rememberedStreams", origins.rememberedStreams());
        ArrayNode stated = dump.putArray("statedVersions");
        origins.statedOrigins()
                .forEach(origin ->
                        stated.add(origin.service() + " " + origin.version().name()));
        dump.put(
                "organisations",
                state.configuration()
                        .map(known -> known.keys().organisationCount())
                        .orElse(0));
        usage.ifPresent(tracker -> writeUsage(tracker, dump.putObject("usage")));
        ArrayNode shares = dump.putArray("shares");
        state.shares().summaries().forEach(summary -> writeShares(summary, shares.addObject()));
        ArrayNode servers = dump.putArray("servers");
        state.serverSummaries().forEach(summary -> {
            ObjectNode server = servers.addObject();
            writeServer(summary, server);
            server.put("drainAnnounced", state.drainsUnregistered(summary.server()));
        });
        return dump;
    }

    private static void writeUsage(UsageTracker tracker, ObjectNode node) {
        DutyStatus status = tracker.status();
        node.put("mayReport", status.eligible());
        node.put("reports", status.collectsUsage());
        node.put("settledWindow", status.settledUsageWindow());
        node.put("clockErrorMilliseconds", tracker.trueTime().ownErrorMillis());
    }

    private static void writeShares(ShareSummary summary, ObjectNode node) {
        node.put("service", summary.service());
        node.put("limiting", summary.limiting());
        if (Double.isFinite(summary.allowedPerSecond())) {
            node.put("allowedPerSecond", Math.round(summary.allowedPerSecond()));
        }
        node.put("requestedPerSecond", Math.round(summary.requestedPerSecond()));
        node.put("completedPerSecond", Math.round(summary.completedPerSecond()));
        node.put("turnedAwayPerSecond", Math.round(summary.turnedAwayPerSecond()));
        node.put("demands", summary.demands());
    }

    private static void writeServer(ServerSummary summary, ObjectNode node) {
        BackendServer server = summary.server();
        node.put("id", server.id());
        node.put("service", server.service());
        node.put("softwareVersion", server.softwareVersion().name());
        node.put("address", server.host() + ":" + server.port());
        node.put("dataCentre", server.dataCentre());
        node.put("state", lowerCase(server.state()));
        node.put("role", lowerCase(server.role()));
        node.put("waitMilliseconds", Math.round(summary.waitSeconds() * MILLISECONDS_PER_SECOND));
        node.put("requests", Math.round(summary.load().requests()));
        summary.load()
                .secondsPerEvent()
                .ifPresent(
                        secondsPerEvent -> node.put("millisecondsPerEvent", secondsPerEvent * MILLISECONDS_PER_SECOND));
        node.put("ownRequests", summary.ownRequests());
        node.put("slowness", summary.slowdown());
        node.put("lastingSlowness", summary.lastingSlowdown());
        summary.statedSlowdown().ifPresent(stated -> {
            node.put("statedSlowness", stated.factor());
            node.put("statedSlownessAgeMilliseconds", stated.age().toMillis());
        });
        node.put("failureShare", summary.failureFraction());
        node.put("changing", summary.changingRole());
        node.put("paused", summary.paused());
        node.put("cachedTokens", summary.cachedTokens());
        node.put("backoffMilliseconds", summary.backoff().toMillis());
        summary.limit().ifPresent(limit -> writeLimit(limit, node));
    }

    private static void writeLimit(LimitSummary limit, ObjectNode node) {
        node.put("requestsPerSecondLimit", limit.requestsPerSecond());
        node.put("requestsPerSecondShare", limit.share());
        node.put("limitEntries", limit.entries());
        node.put("limitClaims", limit.claims());
        limit.oldestClaim().ifPresent(age -> node.put("oldestLimitClaimMilliseconds", age.toMillis()));
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
