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
import org.aspenmoor.internal.accounting.ChunkAccount;
import org.aspenmoor.internal.accounting.RequestAccount;
import org.aspenmoor.internal.claim.ClaimVerdict;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.duty.MessageHandler;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.membership.Standing;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.LoadReport;
import org.jboss.logging.Logger;

/** The entry's one place of decision: admits requests, follows their attempts, watches over agents. */
public final class EntryEventLoop implements MessageHandler<EntryMessage> {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final int PROBES_WITHIN_SILENCE = 4;
    private static final int STALLS_WITHIN_DEADLINE = 3;
    private static final Duration LEAST_STALL = Duration.ofMillis(500);
    private static final Duration STOPPING_COME_BACK = Duration.ofSeconds(1);

    private final EntrySettings settings;
    private final TimeSource time;
    private final RequestTable requestTable;
    private final AgentDirectory directory;
    private final WaitingRequests waitingRequests;
    private final AttemptDriver driver;
    private final AnswerReceiver receiver;
    private final StoreObjects objects;
    private final TraceLog traces;
    private final RequestMatcher matcher;
    private final Claims claims;
    private final ServiceQueues serviceQueues;
    private final long probePeriodNanoseconds;
    private Optional<CompletableFuture<Void>> drained = Optional.empty();
    private long probedAt;

    EntryEventLoop(
            EntrySettings settings,
            TimeSource time,
            AgentDirectory directory,
            ServiceQueues serviceQueues,
            Claims claims,
            DocumentIndex documentIndex,
            EntryMetrics metrics) {
        this.claims = claims;
        this.serviceQueues = serviceQueues;
        this.probePeriodNanoseconds =
                MembershipBounds.silence(settings.leavingBound()).toNanos() / PROBES_WITHIN_SILENCE;
        this.settings = settings;
        this.time = time;
        this.directory = directory;
        this.traces = new TraceLog();
        this.requestTable = new RequestTable(traces, metrics);
        this.waitingRequests = new WaitingRequests(settings.limits().maxWaitingRequests());
        this.driver = new AttemptDriver(
                requestTable, directory, serviceQueues, waitingRequests, settings.limits(), metrics, claims);
        this.receiver = new AnswerReceiver(requestTable, driver, settings.limits(), metrics, claims);
        this.objects = new StoreObjects(documentIndex, directory);
        this.matcher = new RequestMatcher(documentIndex);
    }

    @Override
    public void handle(EntryMessage message) {
        long now = time.monotonicNanoseconds();
        switch (message) {
            case EntryMessage.RequestCame came -> requestCame(came.request(), now);
            case EntryMessage.CallerTook took -> requestTable.find(took.id()).ifPresent(receiver::returnCredit);
            case EntryMessage.CallerGone gone ->
                requestTable.find(gone.id()).ifPresent(request -> driver.cancel(request, now));
            case EntryMessage.LinkOpened opened -> directory.opened(opened.link());
            case EntryMessage.LinkClosed closed -> linkClosed(closed, now);
            case EntryMessage.FrameArrived arrived -> received(arrived.link(), arrived.frame(), now);
            case EntryMessage.ObjectChanged changed -> objects.changed(changed.object(), now);
            case EntryMessage.ObjectDeleted deleted -> objects.deleted(deleted.object());
            case EntryMessage.CollectionKnown known -> objects.known(known.kind());
            case EntryMessage.ClaimJudged judged -> claimJudged(judged.verdict(), now);
            case EntryMessage.Tick ignored -> tick(now);
            case EntryMessage.DrainAsked asked -> drained = Optional.of(asked.drained());
            case EntryMessage.EnginesAsked asked -> asked.answer().complete(engines());
            case EntryMessage.DumpAsked asked -> asked.answer().complete(dump());
            case EntryMessage.TraceAsked asked -> asked.answer().complete(traces.trace(asked.id()));
        }
        completeDrainIfIdle();
    }

    private void requestCame(IncomingRequest incoming, long now) {
        if (drained.isPresent()) {
            requestTable.refusedAtOnce(
                    incoming,
                    new Outcome.NotRun(RefusalReason.STOPPING, STOPPING_COME_BACK, "This entry is stopping."));
            return;
        }
        switch (matcher.match(incoming)) {
            case RequestMatch.Missing missing -> requestTable.refusedAtOnce(incoming, missing.refusal());
            case RequestMatch.Found found -> {
                ActiveRequest request = new ActiveRequest(incoming, found.document(), found.kind(), now);
                requestTable.put(request);
                requestTable.trace(
                        request,
                        now,
                        "came as kind " + found.kind().name() + " of "
                                + found.document().team() + "/"
                                + found.document().service() + " revision "
                                + found.document().revision());
                claimOrAdmit(request, now);
            }
        }
    }

    private void claimOrAdmit(ActiveRequest request, long now) {
        if (!Claims.needsClaim(request)) {
            driver.admit(request, now);
            return;
        }
        requestTable.trace(request, now, "waits for the store to grant its key");
        claims.ask(request).ifPresent(refusal -> requestTable.refused(request, refusal, now));
    }

    private void claimJudged(ClaimVerdict verdict, long now) {
        Optional<ActiveRequest> found = requestTable.find(verdict.request().id());
        if (found.isEmpty()) {
            releaseUnwanted(verdict);
            return;
        }
        ActiveRequest request = found.get();
        switch (verdict) {
            case ClaimVerdict.Granted granted -> {
                request.claimed(granted.ticket());
                driver.admit(request, now);
            }
            case ClaimVerdict.AlreadyAnswered already -> {
                requestTable.trace(request, now, "its key was answered before, the recorded answer is given again");
                requestTable.answered(request, already.answer().status(), now);
                request.sink().plainAnswer(Claims.replay(already.answer()));
            }
            case ClaimVerdict.StillUnknown ignored ->
                requestTable.unknown(request, "The key was used before and what came of it is not known.", now);
            case ClaimVerdict.KeyReused ignored ->
                requestTable.refused(
                        request,
                        new Outcome.NotRun(
                                RefusalReason.KEY_REUSED,
                                Duration.ZERO,
                                "The idempotency key was used before with another request; draw a new key."),
                        now);
            case ClaimVerdict.NotClaimed not ->
                requestTable.refused(
                        request,
                        new Outcome.NotRun(RefusalReason.STORE_UNAVAILABLE, not.comeBackAfter(), not.detail()),
                        now);
        }
    }

    // The caller went away while the claim was made: nothing ran, so its key is freed for a repeat.
    private void releaseUnwanted(ClaimVerdict verdict) {
        if (verdict instanceof ClaimVerdict.Granted granted) {
            claims.neverStarted(granted.ticket());
        }
    }

    private void linkClosed(EntryMessage.LinkClosed closed, long now) {
        List<ActiveRequest> affected = directory
                .of(closed.link())
                .map(peer -> requestTable.all().stream()
                        .filter(request -> request.peer().equals(Optional.of(peer)))
                        .toList())
                .orElse(List.of());
        Optional<AgentPeer> peer = directory.closed(closed.link());
        peer.ifPresent(lost -> LOG.infof(
                "entry: link to agent of %s ended with %d requests, %s",
                lost.backend(), affected.size(), closed.cause()));
        affected.forEach(request -> driver.lost(request, "the link to the agent ended, " + closed.cause(), now));
    }

    private void received(Link link, Frame frame, long now) {
        Optional<AgentPeer> peer = directory.of(link);
        if (peer.isEmpty()) {
            return;
        }
        switch (frame.getBodyCase()) {
            case STARTED -> receiver.started(frame.getStarted(), now);
            case CHUNK -> receiver.chunk(frame.getChunk(), now);
            case LAST -> {
                receiver.last(frame.getLast(), now);
                driver.startWaiting(now);
            }
            case REFUSED -> receiver.refused(frame.getRefused(), now);
            case LOAD_REPORT -> reported(peer.get(), frame.getLoadReport(), now);
            case LEAVING -> directory.leaving(peer.get(), frame.getLeaving().getReason());
            case PROBE_ANSWER ->
                directory.probeAnswered(peer.get(), frame.getProbeAnswer().getNumber());
            default -> LOG.debugf("entry: frame %s is not for an entry", frame.getBodyCase());
        }
    }

    private void reported(AgentPeer peer, LoadReport report, long now) {
        peer.reported(report);
        serviceQueues.reported(peer, now);
        driver.startWaiting(now);
    }

    private void tick(long now) {
        directory.connectMissing(now);
        if (now - probedAt >= probePeriodNanoseconds) {
            probedAt = now;
            directory.probe(now);
            closeSilentLinks();
        }
        requestTable.all().forEach(request -> watchOver(request, now));
        driver.startWaiting(now);
        requestTable.checkAccount();
    }

    // A paused or cut-off agent keeps its connection open: nothing arrives and nothing fails. Without the probes its
    // requests would hang until the caller's own time-out. An agent that answers none within the bound loses its link.
    private void closeSilentLinks() {
        for (AgentPeer peer : directory.all()) {
            if (peer.link().isPresent() && directory.standing(peer) instanceof Standing.Silent) {
                LOG.warnf("entry: agent of %s is silent, closing its link", peer.backend());
                peer.link().get().close();
            }
        }
    }

    private void watchOver(ActiveRequest request, long now) {
        receiver.returnCredit(request);
        boolean stalled = request.peer().isPresent()
                && !request.sink().isHeldByCaller()
                && now - request.lastProgressAt() > stallNanoseconds(request);
        if (stalled && request.kind().idempotent()) {
            request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
            driver.lost(
                    request, "no sign for " + TimeUnit.NANOSECONDS.toMillis(stallNanoseconds(request)) + " ms", now);
        } else if (stalled && now > request.deadlineAt()) {
            driver.lost(request, "no answer before its deadline", now);
        }
    }

    // A time-out longer than the deadline allows would give a stalled request up when nobody wants it any more.
    private long stallNanoseconds(ActiveRequest request) {
        Duration share = request.kind().deadline().dividedBy(STALLS_WITHIN_DEADLINE);
        Duration least = share.compareTo(LEAST_STALL) < 0 ? LEAST_STALL : share;
        Duration stall = settings.stallTimeout().compareTo(least) < 0 ? settings.stallTimeout() : least;
        return stall.toNanos();
    }

    private void completeDrainIfIdle() {
        if (requestTable.size() == 0) {
            drained.ifPresent(future -> future.complete(null));
        }
    }

    private List<EngineSnapshot> engines() {
        return directory.all().stream()
                .filter(peer -> peer.load().isPresent())
                .map(peer -> new EngineSnapshot(
                        peer.backend(),
                        new ServiceName(
                                peer.registration().team(), peer.registration().service()),
                        peer.registration().dataCentre(),
                        peer.link().isPresent(),
                        directory.takesWork(peer),
                        EngineRole.valueOf(peer.load().get().getRole()),
                        Set.copyOf(peer.load().get().getLoadedList()),
                        peer.load().get().getRunningSequences()))
                .toList();
    }

    private ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        RequestAccount.Totals totals = requestTable.totals();
        dump.putObject("requests")
                .put("received", totals.received())
                .put("answered", totals.answered())
                .put("notRun", totals.notRun())
                .put("unknown", totals.unknown())
                .put("cancelled", totals.cancelled())
                .put("inFlight", requestTable.size())
                .put("waiting", waitingRequests.size());
        ChunkAccount.Totals chunkTotals = receiver.chunks().totals();
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
        objects.dump(dump.putArray("documents"));
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

    private static String leavingText(Standing standing) {
        return switch (standing) {
            case Standing.Leaving leaving -> "said by " + leaving.said();
            case Standing.Silent ignored -> "its agent is silent";
            case Standing.Unmet ignored -> "";
            case Standing.Serving ignored -> "";
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
            node.put("takesWork", directory.takesWork(peer));
            node.put("leaving", leavingText(directory.standing(peer)));
            node.put("outstanding", peer.outstanding());
            node.put("role", peer.load().map(LoadReport::getRole).orElse(""));
            peer.load().ifPresent(load -> dumpLoad(node, load));
        }
    }
}
