package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.accounting.ChunkCounters;
import org.aspenmoor.internal.accounting.RequestCounters;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.duty.MessageHandler;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.membership.MembershipState;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.LoadReport;
import org.jboss.logging.Logger;

/** The event loop of the entry: admits requests, tracks their attempts and monitors agents. */
public final class EntryEventLoop implements MessageHandler<EntryMessage> {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final int PROBES_PER_LINK_TIMEOUT = 4;
    private static final int STALL_TIMEOUTS_PER_DEADLINE = 3;
    private static final Duration MIN_STALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntrySettings settings;
    private final TimeSource time;
    private final RequestTable requestTable;
    private final AgentDirectory directory;
    private final WaitingRequests waitingRequests;
    private final RequestDispatcher dispatcher;
    private final AnswerReceiver receiver;
    private final StoreObjectHandler storeObjects;
    private final TraceLog traces;
    private final RequestMatcher matcher;
    private final ClaimClient claimClient;
    private final ServiceQueues serviceQueues;
    private final long probePeriodNanoseconds;
    private Optional<CompletableFuture<Void>> drained = Optional.empty();
    private long lastProbeAt;

    EntryEventLoop(
            EntrySettings settings,
            TimeSource time,
            AgentDirectory directory,
            ServiceQueues serviceQueues,
            ClaimClient claimClient,
            DocumentIndex documentIndex,
            EntryMetrics metrics) {
        this.claimClient = claimClient;
        this.serviceQueues = serviceQueues;
        this.probePeriodNanoseconds =
                MembershipTimeouts.linkTimeout(settings.leavingBound()).toNanos() / PROBES_PER_LINK_TIMEOUT;
        this.settings = settings;
        this.time = time;
        this.directory = directory;
        this.traces = new TraceLog();
        this.requestTable = new RequestTable(traces, metrics);
        this.waitingRequests = new WaitingRequests(settings.limits().maxWaitingRequests());
        this.dispatcher = new RequestDispatcher(
                requestTable, directory, serviceQueues, waitingRequests, settings.limits(), metrics, claimClient);
        this.receiver = new AnswerReceiver(requestTable, dispatcher, settings.limits(), metrics, claimClient);
        this.storeObjects = new StoreObjectHandler(documentIndex, directory);
        this.matcher = new RequestMatcher(documentIndex);
    }

    @Override
    public void handle(EntryMessage message) {
        long now = time.monotonicNanos();
        switch (message) {
            case EntryMessage.RequestCame received -> handleRequest(received.request(), now);
            case EntryMessage.CallerTook consumed ->
                requestTable.find(consumed.id()).ifPresent(receiver::returnCredit);
            case EntryMessage.CallerGone disconnected ->
                requestTable.find(disconnected.id()).ifPresent(request -> dispatcher.cancel(request, now));
            case EntryMessage.LinkOpened opened -> directory.linkOpened(opened.link());
            case EntryMessage.LinkClosed closed -> handleLinkClosed(closed, now);
            case EntryMessage.FrameArrived arrived -> handleFrame(arrived.link(), arrived.frame(), now);
            case EntryMessage.ObjectChanged changed -> storeObjects.objectChanged(changed.object(), now);
            case EntryMessage.ObjectDeleted deleted -> storeObjects.objectDeleted(deleted.object());
            case EntryMessage.CollectionKnown listed -> storeObjects.collectionListed(listed.kind());
            case EntryMessage.ClaimJudged decided -> handleClaimDecision(decided.decision(), now);
            case EntryMessage.Tick ignored -> tick(now);
            case EntryMessage.DrainAsked requested -> drained = Optional.of(requested.drained());
            case EntryMessage.EnginesAsked requested -> requested.answer().complete(engineSnapshots());
            case EntryMessage.DumpAsked requested -> requested.answer().complete(dump());
            case EntryMessage.TraceAsked requested -> requested.answer().complete(traces.trace(requested.id()));
        }
        completeDrainIfIdle();
    }

    private void handleRequest(IncomingRequest incoming, long now) {
        if (drained.isPresent()) {
            requestTable.refuseUnmatched(
                    incoming,
                    new Outcome.NotRun(
                            RefusalReason.STOPPING,
                            STOPPING_RETRY_AFTER,
                            "This entry is stopping; send the request to another entry."));
            return;
        }
        switch (matcher.match(incoming)) {
            case RequestMatch.NoMatch noMatch -> requestTable.refuseUnmatched(incoming, noMatch.refusal());
            case RequestMatch.Found found -> {
                ActiveRequest request = new ActiveRequest(incoming, found.document(), found.kind(), now);
                requestTable.put(request);
                requestTable.trace(
                        request,
                        now,
                        "received as kind " + found.kind().name() + " of "
                                + found.document().team() + "/"
                                + found.document().service() + " revision "
                                + found.document().revision());
                claimOrAdmit(request, now);
            }
        }
    }

    private void claimOrAdmit(ActiveRequest request, long now) {
        if (!ClaimClient.needsClaim(request)) {
            dispatcher.admit(request, now);
            return;
        }
        requestTable.trace(request, now, "waiting for the store to grant its idempotency claim");
        claimClient.requestClaim(request).ifPresent(refusal -> requestTable.endRefused(request, refusal, now));
    }

    private void handleClaimDecision(ClaimDecision decision, long now) {
        Optional<ActiveRequest> found = requestTable.find(decision.request().id());
        if (found.isEmpty()) {
            releaseUnneededClaim(decision);
            return;
        }
        ActiveRequest request = found.get();
        switch (decision) {
            case ClaimDecision.Granted granted -> {
                request.recordClaim(granted.ticket());
                dispatcher.admit(request, now);
            }
            case ClaimDecision.AlreadyAnswered answeredBefore -> {
                requestTable.trace(
                        request, now, "its idempotency key was answered before; returning the recorded answer");
                requestTable.endAnswered(request, answeredBefore.answer().status(), now);
                request.sink().onPlainAnswer(ClaimClient.replay(answeredBefore.answer()));
            }
            case ClaimDecision.OutcomeUnknown ignored ->
                requestTable.endUnknown(
                        request, "The idempotency key was used before and the outcome of that call is unknown.", now);
            case ClaimDecision.KeyReused ignored ->
                requestTable.endRefused(
                        request,
                        new Outcome.NotRun(
                                RefusalReason.KEY_REUSED,
                                Duration.ZERO,
                                "The idempotency key was used before with a different request; use a new key."),
                        now);
            case ClaimDecision.NotClaimed notClaimed ->
                requestTable.endRefused(
                        request,
                        new Outcome.NotRun(
                                RefusalReason.STORE_UNAVAILABLE, notClaimed.retryAfter(), notClaimed.detail()),
                        now);
        }
    }

    // The caller disconnected while the claim was requested: nothing ran, so the key is released for a retry.
    private void releaseUnneededClaim(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Granted granted) {
            claimClient.releaseClaim(granted.ticket());
        }
    }

    private void handleLinkClosed(EntryMessage.LinkClosed closed, long now) {
        List<ActiveRequest> affected = directory
                .findByLink(closed.link())
                .map(peer -> requestTable.all().stream()
                        .filter(request -> request.peer().equals(Optional.of(peer)))
                        .toList())
                .orElse(List.of());
        Optional<AgentPeer> peer = directory.linkClosed(closed.link());
        peer.ifPresent(closedPeer -> LOG.infof(
                "entry: link to agent of %s closed with %d active requests: %s",
                closedPeer.backend(), affected.size(), closed.cause()));
        affected.forEach(
                request -> dispatcher.attemptLost(request, "the link to the agent closed: " + closed.cause(), now));
    }

    private void handleFrame(Link link, Frame frame, long now) {
        Optional<AgentPeer> peer = directory.findByLink(link);
        if (peer.isEmpty()) {
            return;
        }
        switch (frame.getBodyCase()) {
            case STARTED -> receiver.handleStarted(frame.getStarted(), now);
            case CHUNK -> receiver.handleChunk(frame.getChunk(), now);
            case LAST -> {
                receiver.handleLast(frame.getLast(), now);
                dispatcher.dispatchWaiting(now);
            }
            case REFUSED -> receiver.handleRefused(frame.getRefused(), now);
            case LOAD_REPORT -> handleLoadReport(peer.get(), frame.getLoadReport(), now);
            case LEAVING -> directory.markLeaving(peer.get(), frame.getLeaving().getReason());
            case PROBE_ANSWER ->
                directory.probeAnswered(peer.get(), frame.getProbeAnswer().getNumber());
            default -> LOG.debugf("entry: ignoring frame %s, which entries do not handle", frame.getBodyCase());
        }
    }

    private void handleLoadReport(AgentPeer peer, LoadReport report, long now) {
        peer.updateLoad(report);
        serviceQueues.loadReported(peer, now);
        dispatcher.dispatchWaiting(now);
    }

    private void tick(long now) {
        directory.connectMissing(now);
        if (now - lastProbeAt >= probePeriodNanoseconds) {
            lastProbeAt = now;
            directory.sendProbes(now);
            closeUnresponsiveLinks();
        }
        requestTable.all().forEach(request -> checkProgress(request, now));
        dispatcher.dispatchWaiting(now);
        requestTable.reportImbalance();
    }

    // A paused or partitioned agent keeps its connection open: nothing arrives and nothing fails. Without probes its
    // requests would wait until the time-out of the caller. The link of an agent that answers no probe within the link
    // timeout is closed.
    private void closeUnresponsiveLinks() {
        for (AgentPeer peer : directory.all()) {
            if (peer.link().isPresent() && directory.standing(peer) instanceof MembershipState.Unresponsive) {
                LOG.warnf("entry: agent of %s does not answer probes; closing its link", peer.backend());
                peer.link().get().close();
            }
        }
    }

    private void checkProgress(ActiveRequest request, long now) {
        receiver.returnCredit(request);
        boolean stalled = request.peer().isPresent()
                && !request.sink().isWaitingForCaller()
                && now - request.lastProgressAt() > stallTimeoutNanoseconds(request);
        if (stalled && request.kind().idempotent()) {
            request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
            dispatcher.attemptLost(
                    request,
                    "no progress for " + TimeUnit.NANOSECONDS.toMillis(stallTimeoutNanoseconds(request)) + " ms",
                    now);
        } else if (stalled && now > request.deadlineAt()) {
            dispatcher.attemptLost(request, "no answer before its deadline", now);
        }
    }

    // A stall timeout longer than the deadline permits would end a stalled request only when its answer is no longer
    // useful.
    private long stallTimeoutNanoseconds(ActiveRequest request) {
        Duration fraction = request.kind().deadline().dividedBy(STALL_TIMEOUTS_PER_DEADLINE);
        Duration timeoutByDeadline = fraction.compareTo(MIN_STALL_TIMEOUT) < 0 ? MIN_STALL_TIMEOUT : fraction;
        Duration timeout =
                settings.stallTimeout().compareTo(timeoutByDeadline) < 0 ? settings.stallTimeout() : timeoutByDeadline;
        return timeout.toNanos();
    }

    private void completeDrainIfIdle() {
        if (requestTable.size() == 0) {
            drained.ifPresent(future -> future.complete(null));
        }
    }

    private List<EngineSnapshot> engineSnapshots() {
        return directory.all().stream()
                .filter(peer -> peer.load().isPresent())
                .map(peer -> new EngineSnapshot(
                        peer.backend(),
                        new ServiceName(
                                peer.registration().team(), peer.registration().service()),
                        peer.registration().dataCentre(),
                        peer.link().isPresent(),
                        directory.acceptsWork(peer),
                        EngineRole.valueOf(peer.load().get().getRole()),
                        Set.copyOf(peer.load().get().getLoadedList()),
                        peer.load().get().getRunningSequences()))
                .toList();
    }

    private ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        RequestCounters.Totals totals = requestTable.totals();
        dump.putObject("requests")
                .put("received", totals.received())
                .put("answered", totals.answered())
                .put("notRun", totals.notRun())
                .put("unknown", totals.unknown())
                .put("cancelled", totals.cancelled())
                .put("inFlight", requestTable.size())
                .put("waiting", waitingRequests.size());
        ChunkCounters.Totals chunkTotals = receiver.chunks().totals();
        dump.putObject("chunks")
                .put("received", chunkTotals.received())
                .put("delivered", chunkTotals.delivered())
                .put("discarded", chunkTotals.discarded())
                .put("broken", chunkTotals.broken());
        dump.put(
                "imbalance",
                requestTable.imbalance().or(() -> receiver.chunks().imbalance()).orElse(""));
        dump.put("stopping", drained.isPresent());
        dumpBackends(dump.putArray("backends"));
        storeObjects.dump(dump.putArray("documents"));
        return dump;
    }

    private static void dumpLoad(ObjectNode node, LoadReport load) {
        node.put("sequence", load.getSequence());
        node.put("running", load.getRunningSequences());
        node.put("mostRunning", load.getMostSequences());
        node.put("queuedPrefillTokens", load.getQueuedPrefillTokens());
        node.put("freeCachePieces", load.getFreeCachePieces());
        node.put("allCachePieces", load.getAllCachePieces());
        ArrayNode loaded = node.putArray("loaded");
        load.getLoadedList().forEach(loaded::add);
    }

    private static String leavingDescription(MembershipState standing) {
        return switch (standing) {
            case MembershipState.Leaving leaving -> "reported by " + leaving.source();
            case MembershipState.Unresponsive ignored -> "its agent is unresponsive";
            case MembershipState.NeverConnected ignored -> "";
            case MembershipState.Serving ignored -> "";
        };
    }

    private void dumpBackends(ArrayNode backends) {
        for (AgentPeer peer : directory.all()) {
            ObjectNode node = backends.addObject();
            node.put("backend", peer.backend());
            node.put("team", peer.registration().team());
            node.put("service", peer.registration().service());
            node.put("dataCentre", peer.registration().dataCentre());
            node.put("linked", peer.link().isPresent());
            node.put("takesWork", directory.acceptsWork(peer));
            node.put("leaving", leavingDescription(directory.standing(peer)));
            node.put("outstanding", peer.outstanding());
            node.put("role", peer.load().map(LoadReport::getRole).orElse(""));
            peer.load().ifPresent(load -> dumpLoad(node, load));
        }
    }
}
