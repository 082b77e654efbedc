package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.duty.MessageHandler;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.wire.v1.Credit;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Leaving;
import org.aspenmoor.internal.wire.v1.Probe;
import org.aspenmoor.internal.wire.v1.ProbeAnswer;
import org.aspenmoor.internal.wire.v1.Refused;
import org.aspenmoor.internal.wire.v1.Started;
import org.jboss.logging.Logger;

/** The event loop of the agent: accepts dispatches, runs them at the backend server and sends the answers back. */
final class AgentEventLoop implements MessageHandler<AgentMessage> {
    private static final Logger LOG = Logger.getLogger("agent");
    private static final int RETRY_AFTER_MILLISECONDS = 1000;
    private static final int BUSY_RETRY_AFTER_MILLISECONDS = 200;

    private final AgentSettings settings;
    private final BackendCaller caller;
    private final LoadReportFilter loadReportFilter;
    private final AgentMetrics metrics;
    private final DispatchCounts dispatchCounts;
    private final Map<AttemptKey, RunningAttempt> running = new HashMap<>();
    private final Set<Link> links = new HashSet<>();
    private final IntConsumer runningChanged;
    private final PauseGuard pauseGuard;
    private boolean servingAllowed = true;
    private Optional<String> leavingReason = Optional.empty();
    private Optional<CompletableFuture<Void>> drained = Optional.empty();

    AgentEventLoop(
            AgentSettings settings,
            BackendCaller caller,
            LoadReportFilter loadReportFilter,
            IntConsumer runningChanged,
            PauseGuard pauseGuard,
            AgentMetrics metrics) {
        this.metrics = metrics;
        this.dispatchCounts = new DispatchCounts(metrics);
        this.pauseGuard = pauseGuard;
        this.runningChanged = runningChanged;
        this.settings = settings;
        this.caller = caller;
        this.loadReportFilter = loadReportFilter;
    }

    @Override
    public void handle(AgentMessage message) {
        if (pauseGuard.detectPause()) {
            LOG.warn("agent: the process was paused; refusing new work until its ownership of the engine is confirmed");
            setServingAllowed(false);
        }
        switch (message) {
            case AgentMessage.LinkOpened opened -> linkOpened(opened.link());
            case AgentMessage.LinkClosed closed -> linkClosed(closed.link());
            case AgentMessage.FrameArrived arrived -> handleFrame(arrived.link(), arrived.frame());
            case AgentMessage.AnswerStarted started -> sendStarted(started);
            case AgentMessage.PiecesArrived arrived -> forwardPieces(arrived);
            case AgentMessage.AnswerEnded ended -> handleAnswerEnd(ended.key(), ended.end());
            case AgentMessage.StatusRead statusRead ->
                loadReportFilter.statusRead(statusRead.status()).ifPresent(this::sendToAll);
            case AgentMessage.StatusMissing statusMissing ->
                loadReportFilter.statusMissing(statusMissing.cause()).ifPresent(this::sendToAll);
            case AgentMessage.ServingAllowed serving -> handleServingAllowed(serving);
            case AgentMessage.Tick ignored -> logImbalance();
            case AgentMessage.DrainAsked requested -> drain(requested);
            case AgentMessage.DumpAsked requested -> requested.answer().complete(dump());
        }
        runningChanged.accept(running.size());
        metrics.setRunning(running.size());
    }

    private void handleServingAllowed(AgentMessage.ServingAllowed serving) {
        boolean allowed = serving.allowed() && pauseGuard.isPermissionCurrent(serving.knownPauses());
        setServingAllowed(allowed);
        // The count must be current before the order thread relies on it.
        runningChanged.accept(running.size());
        serving.acknowledge().run();
    }

    private void setServingAllowed(boolean allowed) {
        servingAllowed = allowed;
        loadReportFilter.setServingAllowed(allowed).ifPresent(this::sendToAll);
    }

    private void linkOpened(Link link) {
        links.add(link);
        loadReportFilter.latest().ifPresent(link::send);
        leavingReason.ifPresent(reason -> link.send(leavingFrame(reason)));
    }

    // Nobody receives the answers any more: the entry has terminated, or it has closed the link and retries at another
    // agent.
    private void linkClosed(Link link) {
        links.remove(link);
        running.values().removeIf(attempt -> {
            if (attempt.link() != link) {
                return false;
            }
            attempt.call().cancel();
            dispatchCounts.recordCancelled();
            return true;
        });
        completeDrainIfIdle();
    }

    private void handleFrame(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case DISPATCH -> dispatch(link, frame.getDispatch());
            case CREDIT -> addCredit(frame.getCredit());
            case CANCEL -> cancel(AttemptKey.of(frame.getCancel().getId()));
            case PROBE -> answerProbe(link, frame.getProbe());
            default -> LOG.debugf("agent: ignoring frame %s, which agents do not handle", frame.getBodyCase());
        }
    }

    private void dispatch(Link link, Dispatch dispatch) {
        AttemptKey key = AttemptKey.of(dispatch.getId());
        dispatchCounts.recordReceived();
        Optional<Refused.Builder> refusal = findRefusal(link, dispatch, key);
        if (refusal.isPresent()) {
            dispatchCounts.recordRefused();
            link.send(Frame.newBuilder()
                    .setRefused(refusal.get().setId(dispatch.getId()))
                    .build());
            return;
        }
        BackendCall call = caller.start(key, dispatch);
        running.put(key, new RunningAttempt(key, link, call, dispatch.getChunkCredit()));
    }

    private Optional<Refused.Builder> findRefusal(Link link, Dispatch dispatch, AttemptKey key) {
        if (leavingReason.isPresent()) {
            return Optional.of(refusal(RefusalReason.STOPPING, RETRY_AFTER_MILLISECONDS, leavingReason.get()));
        }
        if (!servingAllowed) {
            return Optional.of(refusal(
                    RefusalReason.NO_BACKEND,
                    RETRY_AFTER_MILLISECONDS,
                    "the agent is not serving: the engine is being changed, or its ownership is not confirmed"));
        }
        if (dispatch.getDeadlineMilliseconds() == 0) {
            return Optional.of(refusal(RefusalReason.CANNOT_FINISH_IN_TIME, 0, "the deadline has passed"));
        }
        // A duplicate dispatch would run the request twice under the same attempt id.
        if (running.containsKey(key)) {
            return Optional.of(refusal(RefusalReason.MALFORMED, 0, "the attempt is already running"));
        }
        long attemptsOfLink = running.values().stream()
                .filter(attempt -> attempt.link() == link)
                .count();
        if (attemptsOfLink >= settings.requestCredit()) {
            return Optional.of(refusal(
                    RefusalReason.OVERLOADED,
                    BUSY_RETRY_AFTER_MILLISECONDS,
                    "the request credit of the link is used up"));
        }
        return Optional.empty();
    }

    private static Refused.Builder refusal(RefusalReason reason, int retryAfterMilliseconds, String detail) {
        return Refused.newBuilder()
                .setReason(reason.name())
                .setComeBackMilliseconds(retryAfterMilliseconds)
                .setDetail(detail);
    }

    private void addCredit(Credit credit) {
        AttemptKey key = AttemptKey.of(credit.getId());
        RunningAttempt attempt = running.get(key);
        if (attempt == null) {
            return;
        }
        attempt.addCredit(credit.getChunks());
        finishIfDone(key, attempt);
    }

    private void cancel(AttemptKey key) {
        RunningAttempt attempt = running.remove(key);
        if (attempt == null) {
            return;
        }
        attempt.call().cancel();
        dispatchCounts.recordCancelled();
        completeDrainIfIdle();
    }

    private static void answerProbe(Link link, Probe probe) {
        link.send(Frame.newBuilder()
                .setProbeAnswer(ProbeAnswer.newBuilder().setNumber(probe.getNumber()))
                .build());
    }

    private void sendStarted(AgentMessage.AnswerStarted message) {
        RunningAttempt attempt = running.get(message.key());
        if (attempt == null) {
            return;
        }
        attempt.link()
                .send(Frame.newBuilder()
                        .setStarted(Started.newBuilder()
                                .setId(message.key().toWire())
                                .setStatus(message.status())
                                .addAllHeaders(message.headers()))
                        .build());
    }

    private void forwardPieces(AgentMessage.PiecesArrived message) {
        RunningAttempt attempt = running.get(message.key());
        if (attempt != null) {
            attempt.addPieces(message.pieces());
        }
    }

    private void handleAnswerEnd(AttemptKey key, CallEnd end) {
        RunningAttempt attempt = running.get(key);
        if (attempt == null) {
            return;
        }
        if (end instanceof CallEnd.NeverStarted neverStarted) {
            running.remove(key);
            dispatchCounts.recordEnd(end);
            Refused.Builder refusal =
                    refusal(RefusalReason.NO_BACKEND, RETRY_AFTER_MILLISECONDS, neverStarted.detail());
            attempt.link()
                    .send(Frame.newBuilder()
                            .setRefused(refusal.setId(key.toWire()))
                            .build());
            completeDrainIfIdle();
            return;
        }
        attempt.recordEnd(end);
        finishIfDone(key, attempt);
    }

    private void finishIfDone(AttemptKey key, RunningAttempt attempt) {
        Optional<Frame> last = attempt.lastFrameIfDone();
        if (last.isEmpty()) {
            return;
        }
        running.remove(key);
        attempt.end().ifPresent(dispatchCounts::recordEnd);
        attempt.link().send(last.get());
        completeDrainIfIdle();
    }

    private void drain(AgentMessage.DrainAsked message) {
        leavingReason = Optional.of(message.reason());
        drained = Optional.of(message.drained());
        sendToAll(leavingFrame(message.reason()));
        LOG.infof("agent: draining, %d requests running", running.size());
        completeDrainIfIdle();
    }

    private void completeDrainIfIdle() {
        if (running.isEmpty()) {
            drained.ifPresent(future -> future.complete(null));
        }
    }

    private Frame leavingFrame(String reason) {
        return Frame.newBuilder()
                .setLeaving(Leaving.newBuilder()
                        .setBackend(settings.backend().name())
                        .setReason(reason))
                .build();
    }

    private void sendToAll(Frame frame) {
        links.forEach(link -> link.send(frame));
    }

    private void logImbalance() {
        dispatchCounts
                .imbalance(running.size())
                .ifPresent(imbalance -> LOG.errorf("agent: dispatch counts are inconsistent: %s", imbalance));
    }

    private ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        DispatchCounts.Totals totals = dispatchCounts.totals();
        dump.putObject("dispatches")
                .put("received", totals.received())
                .put("refused", totals.refused())
                .put("complete", totals.complete())
                .put("failed", totals.failed())
                .put("cancelled", totals.cancelled())
                .put("running", running.size());
        dump.put("imbalance", dispatchCounts.imbalance(running.size()).orElse(""));
        dump.put("servingAllowed", servingAllowed);
        dump.put("leaving", leavingReason.orElse(""));
        var linkNames = dump.putArray("links");
        links.forEach(link -> linkNames.add(link.toString()));
        dump.set("load", loadReportFilter.dump());
        return dump;
    }
}
