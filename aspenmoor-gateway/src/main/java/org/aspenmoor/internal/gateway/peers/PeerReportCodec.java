package org.aspenmoor.internal.gateway.peers;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.AssignedPrompt;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.EventIntervals;
import org.aspenmoor.internal.serving.EventSize;
import org.aspenmoor.internal.serving.LearnedSpeed;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PromptPart;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.limit.ShareClaim;
import org.aspenmoor.internal.serving.limit.SlotLoan;
import org.aspenmoor.internal.serving.limit.StatedLimit;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/** Converts reports to datagrams and back. */
final class PeerReportCodec {
    private static final double MICROS_PER_SECOND = 1e6;

    private PeerReportCodec() {}

    static byte[] serialise(PeerReport report) {
        PeerLoad.Builder message = PeerLoad.newBuilder()
                .setEntry(report.entry())
                .setStart(report.incarnation())
                .setSequence(report.sequence())
                .setStoreUnreachable(!report.orderStanding().storeReached())
                .setOrderFencingNumber(report.orderStanding().lastFencingNumber())
                .setLeaving(report.stopping());
        report.loads()
                .forEach((server, load) -> message.addShares(PeerLoad.Share.newBuilder()
                        .setServer(server)
                        .setUnansweredMicroseconds((int) (load.unansweredSeconds() * MICROS_PER_SECOND))
                        .setRequests(load.requests())
                        .setPaceEvents((float) load.eventIntervals().events())
                        .setPaceSeconds((float) load.eventIntervals().seconds())
                        .setHeldTokens(load.heldTokens())));
        for (AssignedPrompt assignedPrompt : report.prompts()) {
            PeerLoad.Prompt.Builder prompt = PeerLoad.Prompt.newBuilder().setServer(assignedPrompt.server());
            for (PromptPart part : assignedPrompt.parts()) {
                prompt.addParts(part.identity()).addTokens(part.tokens());
            }
            message.addPrompts(prompt);
        }
        report.speeds()
                .forEach(speed -> message.addSpeeds(PeerLoad.Speed.newBuilder()
                        .setService(speed.service())
                        .setRole(speed.role().ordinal())
                        .setFactor((float) speed.factor())
                        .setFixedSeconds((float) speed.fixedSeconds())));
        report.eventSizes()
                .forEach(eventSize -> message.addLengths(PeerLoad.EventLength.newBuilder()
                        .setService(eventSize.service())
                        .setTokens((float) eventSize.tokensPerEvent())));
        report.roleChanges()
                .forEach(change -> message.addChanges(PeerLoad.Change.newBuilder()
                        .setServer(change.server())
                        .setRole(change.role().ordinal())));
        report.serverTerminations().forEach(termination -> message.addEnds(serialise(termination)));
        report.limits().forEach(limit -> message.addLimits(serialise(limit)));
        report.drainingServers().forEach(server -> message.addDraining(serialise(server)));
        report.versions().forEach(sighting -> message.addVersions(OriginCodec.serialise(sighting)));
        report.duties().ifPresent(status -> message.setDuty(serialise(status)));
        MeasurementCodec.serialise(report.measurements(), message);
        return message.build().toByteArray();
    }

    private static PeerLoad.Limit serialise(StatedLimit limit) {
        PeerLoad.Limit.Builder message = PeerLoad.Limit.newBuilder()
                .setServer(limit.server())
                .setStartedAt(limit.startedAt())
                .setAgeMilliseconds((int) limit.age().toMillis())
                .setDemand((float) limit.claim().demand())
                .setDemandClass(limit.claim().demandClass())
                .setClaimSentAt(limit.claim().sentAt());
        limit.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
        limit.loans().forEach(loan -> message.addLoans(serialise(loan)));
        return message.build();
    }

    private static PeerLoad.SlotLoan serialise(SlotLoan loan) {
        return PeerLoad.SlotLoan.newBuilder()
                .setSlot(loan.slot())
                .setBorrower(loan.borrower())
                .setClaimSentAt(loan.claimSentAt())
                .setDurationMilliseconds((int) loan.duration().toMillis())
                .build();
    }

    private static List<StatedLimit> parseLimits(PeerLoad message) {
        List<StatedLimit> limits = new ArrayList<>();
        for (PeerLoad.Limit limit : message.getLimitsList()) {
            Optional<Double> requestsPerSecond =
                    limit.hasRequestsPerSecond() ? Optional.of(limit.getRequestsPerSecond()) : Optional.empty();
            boolean usable = requestsPerSecond
                    .filter(rate -> !Double.isFinite(rate) || rate < 0)
                    .isEmpty();
            if (usable) {
                Duration age = Duration.ofMillis(Integer.toUnsignedLong(limit.getAgeMilliseconds()));
                ShareClaim claim = new ShareClaim(limit.getDemand(), limit.getDemandClass(), limit.getClaimSentAt());
                limits.add(new StatedLimit(
                        limit.getServer(), limit.getStartedAt(), requestsPerSecond, age, claim, parseLoans(limit)));
            }
        }
        return limits;
    }

    private static List<SlotLoan> parseLoans(PeerLoad.Limit limit) {
        return limit.getLoansList().stream()
                .filter(loan -> loan.getSlot() >= 0)
                .map(loan -> new SlotLoan(
                        loan.getSlot(),
                        loan.getBorrower(),
                        loan.getClaimSentAt(),
                        Duration.ofMillis(Integer.toUnsignedLong(loan.getDurationMilliseconds()))))
                .toList();
    }

    private static PeerLoad.Draining serialise(ServerIncarnation server) {
        return PeerLoad.Draining.newBuilder()
                .setServer(server.serverId())
                .setStartedAt(server.startedAt())
                .build();
    }

    private static List<ServerIncarnation> parseDrainingServers(PeerLoad message) {
        return message.getDrainingList().stream()
                .map(server -> new ServerIncarnation(server.getServer(), server.getStartedAt()))
                .toList();
    }

    private static PeerLoad.Duty serialise(DutyStatus status) {
        return PeerLoad.Duty.newBuilder()
                .setEligible(status.eligible())
                .setCollectsUsage(status.collectsUsage())
                .setSettledUsageWindow(status.settledUsageWindow())
                .setWallClockMilliseconds(status.wallClockMillis())
                .build();
    }

    private static Optional<DutyStatus> parseDuties(PeerLoad message) {
        if (!message.hasDuty()) {
            return Optional.empty();
        }
        PeerLoad.Duty duty = message.getDuty();
        return Optional.of(new DutyStatus(
                duty.getEligible(),
                duty.getCollectsUsage(),
                duty.getSettledUsageWindow(),
                duty.getWallClockMilliseconds()));
    }

    private static PeerLoad.End serialise(ServerTermination termination) {
        return PeerLoad.End.newBuilder()
                .setRequest(ByteString.copyFrom(termination.suspect().bytes()))
                .setServer(termination.incarnation().serverId())
                .setStartedAt(termination.incarnation().startedAt())
                .setAgeMilliseconds((int) termination.age().toMillis())
                .setExcused(termination.cleared())
                .build();
    }

    private static List<ServerTermination> parseTerminations(PeerLoad message) {
        List<ServerTermination> terminations = new ArrayList<>();
        for (PeerLoad.End end : message.getEndsList()) {
            if (end.getRequest().size() == SuspectDigest.BYTES) {
                SuspectDigest request = SuspectDigest.of(end.getRequest().toByteArray());
                ServerIncarnation incarnation = new ServerIncarnation(end.getServer(), end.getStartedAt());
                Duration age = Duration.ofMillis(Integer.toUnsignedLong(end.getAgeMilliseconds()));
                terminations.add(new ServerTermination(request, incarnation, age, end.getExcused()));
            }
        }
        return terminations;
    }

    private static EventIntervals parseEventIntervals(PeerLoad.Share share) {
        boolean usable = Float.isFinite(share.getPaceEvents())
                && Float.isFinite(share.getPaceSeconds())
                && share.getPaceEvents() >= 0
                && share.getPaceSeconds() >= 0;
        return usable ? new EventIntervals(share.getPaceEvents(), share.getPaceSeconds()) : EventIntervals.NONE;
    }

    private static List<LearnedSpeed> parseSpeeds(PeerLoad message) {
        List<LearnedSpeed> speeds = new ArrayList<>();
        EngineRole[] roles = EngineRole.values();
        for (PeerLoad.Speed speed : message.getSpeedsList()) {
            boolean usable = Float.isFinite(speed.getFactor())
                    && Float.isFinite(speed.getFixedSeconds())
                    && speed.getRole() >= 0
                    && speed.getRole() < roles.length;
            if (usable) {
                EngineRole role = roles[speed.getRole()];
                speeds.add(new LearnedSpeed(speed.getService(), role, speed.getFactor(), speed.getFixedSeconds()));
            }
        }
        return speeds;
    }

    private static List<EventSize> parseEventSizes(PeerLoad message) {
        return message.getLengthsList().stream()
                .filter(length -> Float.isFinite(length.getTokens()) && length.getTokens() > 0)
                .map(length -> new EventSize(length.getService(), length.getTokens()))
                .toList();
    }

    private static List<RoleChange> parseRoleChanges(PeerLoad message) {
        List<RoleChange> changes = new ArrayList<>();
        EngineRole[] roles = EngineRole.values();
        for (PeerLoad.Change change : message.getChangesList()) {
            if (change.getRole() >= 0 && change.getRole() < roles.length) {
                changes.add(new RoleChange(change.getServer(), roles[change.getRole()]));
            }
        }
        return changes;
    }

    private static List<AssignedPrompt> parsePrompts(PeerLoad message) {
        List<AssignedPrompt> prompts = new ArrayList<>();
        for (PeerLoad.Prompt prompt : message.getPromptsList()) {
            List<PromptPart> parts = new ArrayList<>();
            int complete = Math.min(prompt.getPartsCount(), prompt.getTokensCount());
            for (int index = 0; index < complete; index++) {
                parts.add(new PromptPart(prompt.getParts(index), prompt.getTokens(index)));
            }
            prompts.add(new AssignedPrompt(prompt.getServer(), parts));
        }
        return prompts;
    }

    /** Parses a message; empty if it is not a report of load. */
    static Optional<PeerReport> parse(PeerLoad message) {
        if (message.getEntry().isEmpty()) {
            return Optional.empty();
        }
        Map<String, EntryLoad> loads = new HashMap<>();
        for (PeerLoad.Share share : message.getSharesList()) {
            double seconds = Integer.toUnsignedLong(share.getUnansweredMicroseconds()) / MICROS_PER_SECOND;
            loads.put(
                    share.getServer(),
                    new EntryLoad(
                            seconds,
                            share.getRequests(),
                            parseEventIntervals(share),
                            Math.max(0, share.getHeldTokens())));
        }
        return Optional.of(new PeerReport(
                message.getEntry(),
                message.getStart(),
                message.getSequence(),
                loads,
                parsePrompts(message),
                parseSpeeds(message),
                parseEventSizes(message),
                parseRoleChanges(message),
                parseTerminations(message),
                parseLimits(message),
                parseDrainingServers(message),
                OriginCodec.parseVersions(message.getVersionsList()),
                parseDuties(message),
                new OrderStanding(message.getEntry(), !message.getStoreUnreachable(), message.getOrderFencingNumber()),
                MeasurementCodec.parse(message),
                message.getLeaving()));
    }
}
