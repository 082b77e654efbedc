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

/** The agent's one place of decision: takes dispatches, runs them at the backend server, sends the answers back. */
final class AgentEventLoop implements MessageHandler<AgentMessage> {
    private static final Logger LOG = Logger.getLogger("agent");
    private static final int SOON_MILLISECONDS = 1000;
    private static final int BUSY_MILLISECONDS = 200;

    private final AgentSettings settings;
    private final BackendCaller caller;
    private final LoadReports loadReports;
    private final AgentMetrics metrics;
    private final AgentAccount account;
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
            LoadReports loadReports,
            IntConsumer runningChanged,
            PauseGuard pauseGuard,
            AgentMetrics metrics) {
        this.metrics = metrics;
        this.account = new AgentAccount(metrics);
        this.pauseGuard = pauseGuard;
        this.runningChanged = runningChanged;
        this.settings = settings;
        this.caller = caller;
        this.loadReports = loadReports;
    }

    @Override
    public void handle(AgentMessage message) {
        if (pauseGuard.stoodStill()) {
            LOG.warn("agent: the process has stood still, no new work until its right to the engine is proved");
            allowServing(false);
        }
        switch (message) {
            case AgentMessage.LinkOpened opened -> opened(opened.link());
            case AgentMessage.LinkClosed closed -> closed(closed.link());
            case AgentMessage.FrameArrived arrived -> received(arrived.link(), arrived.frame());
            case AgentMessage.AnswerStarted started -> started(started);
            case AgentMessage.PiecesArrived arrived -> piecesArrived(arrived);
            case AgentMessage.AnswerEnded ended -> answerEnded(ended.key(), ended.end());
            case AgentMessage.StatusRead read -> loadReports.read(read.status()).ifPresent(this::sendToAll);
            case AgentMessage.StatusMissing missing ->
                loadReports.missing(missing.cause()).ifPresent(this::sendToAll);
            case AgentMessage.ServingAllowed serving -> servingAllowed(serving);
            case AgentMessage.Tick ignored -> checkAccount();
            case AgentMessage.DrainAsked asked -> drain(asked);
            case AgentMessage.DumpAsked asked -> asked.answer().complete(dump());
        }
        runningChanged.accept(running.size());
        metrics.running(running.size());
    }

    private void servingAllowed(AgentMessage.ServingAllowed serving) {
        boolean allowed = serving.allowed() && pauseGuard.admits(serving.pausesKnown());
        allowServing(allowed);
        // The count must be right before the order thread trusts it.
        runningChanged.accept(running.size());
        serving.heard().run();
    }

    private void allowServing(boolean allowed) {
        servingAllowed = allowed;
        loadReports.allowed(allowed).ifPresent(this::sendToAll);
    }

    private void opened(Link link) {
        links.add(link);
        loadReports.latest().ifPresent(link::send);
        leavingReason.ifPresent(reason -> link.send(leavingFrame(reason)));
    }

    // Nobody is left to take the answers: the entry is gone, or it has given this agent up and tries elsewhere.
    private void closed(Link link) {
        links.remove(link);
        running.values().removeIf(attempt -> {
            if (attempt.link() != link) {
                return false;
            }
            attempt.call().cancel();
            account.cancelled();
            return true;
        });
        completeDrainIfIdle();
    }

    private void received(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case DISPATCH -> dispatch(link, frame.getDispatch());
            case CREDIT -> credit(frame.getCredit());
            case CANCEL -> cancel(AttemptKey.of(frame.getCancel().getId()));
            case PROBE -> answerProbe(link, frame.getProbe());
            default -> LOG.debugf("agent: frame %s is not for an agent", frame.getBodyCase());
        }
    }

    private void dispatch(Link link, Dispatch dispatch) {
        AttemptKey key = AttemptKey.of(dispatch.getId());
        account.received();
        Optional<Refused.Builder> refusal = refusalOf(link, dispatch, key);
        if (refusal.isPresent()) {
            account.refused();
            link.send(Frame.newBuilder()
                    .setRefused(refusal.get().setId(dispatch.getId()))
                    .build());
            return;
        }
        BackendCall call = caller.start(key, dispatch);
        running.put(key, new RunningAttempt(key, link, call, dispatch.getChunkCredit()));
    }

    private Optional<Refused.Builder> refusalOf(Link link, Dispatch dispatch, AttemptKey key) {
        if (leavingReason.isPresent()) {
            return Optional.of(refusal(RefusalReason.STOPPING, SOON_MILLISECONDS, leavingReason.get()));
        }
        if (!servingAllowed) {
            return Optional.of(refusal(RefusalReason.NO_BACKEND, SOON_MILLISECONDS, "the engine is to be changed"));
        }
        if (dispatch.getDeadlineMilliseconds() == 0) {
            return Optional.of(refusal(RefusalReason.CANNOT_FINISH_IN_TIME, 0, "the deadline has passed"));
        }
        // A doubled dispatch would run the request twice under one name.
        if (running.containsKey(key)) {
            return Optional.of(refusal(RefusalReason.MALFORMED, 0, "the attempt runs already"));
        }
        long ofThisLink = running.values().stream()
                .filter(attempt -> attempt.link() == link)
                .count();
        if (ofThisLink >= settings.requestCredit()) {
            return Optional.of(refusal(RefusalReason.OVERLOADED, BUSY_MILLISECONDS, "the link's credit is used up"));
        }
        return Optional.empty();
    }

    private static Refused.Builder refusal(RefusalReason reason, int comeBackMilliseconds, String detail) {
        return Refused.newBuilder()
                .setReason(reason.name())
                .setComeBackMilliseconds(comeBackMilliseconds)
                .setDetail(detail);
    }

    private void credit(Credit credit) {
        AttemptKey key = AttemptKey.of(credit.getId());
        RunningAttempt attempt = running.get(key);
        if (attempt == null) {
            return;
        }
        attempt.credited(credit.getChunks());
        finishIfDone(key, attempt);
    }

    private void cancel(AttemptKey key) {
        RunningAttempt attempt = running.remove(key);
        if (attempt == null) {
            return;
        }
        attempt.call().cancel();
        account.cancelled();
        completeDrainIfIdle();
    }

    private static void answerProbe(Link link, Probe probe) {
        link.send(Frame.newBuilder()
                .setProbeAnswer(ProbeAnswer.newBuilder().setNumber(probe.getNumber()))
                .build());
    }

    private void started(AgentMessage.AnswerStarted message) {
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

    private void piecesArrived(AgentMessage.PiecesArrived message) {
        RunningAttempt attempt = running.get(message.key());
        if (attempt != null) {
            attempt.arrived(message.pieces());
        }
    }

    private void answerEnded(AttemptKey key, CallEnd end) {
        RunningAttempt attempt = running.get(key);
        if (attempt == null) {
            return;
        }
        if (end instanceof CallEnd.NeverStarted never) {
            running.remove(key);
            account.ended(end);
            Refused.Builder refusal = refusal(RefusalReason.NO_BACKEND, SOON_MILLISECONDS, never.detail());
            attempt.link()
                    .send(Frame.newBuilder()
                            .setRefused(refusal.setId(key.toWire()))
                            .build());
            completeDrainIfIdle();
            return;
        }
        attempt.ended(end);
        finishIfDone(key, attempt);
    }

    private void finishIfDone(AttemptKey key, RunningAttempt attempt) {
        Optional<Frame> last = attempt.lastFrameIfDone();
        if (last.isEmpty()) {
            return;
        }
        running.remove(key);
        attempt.end().ifPresent(account::ended);
        attempt.link().send(last.get());
        completeDrainIfIdle();
    }

    private void drain(AgentMessage.DrainAsked asked) {
        leavingReason = Optional.of(asked.reason());
        drained = Optional.of(asked.drained());
        sendToAll(leavingFrame(asked.reason()));
        LOG.infof("agent: draining, %d requests run", running.size());
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

    private void checkAccount() {
        account.imbalance(running.size()).ifPresent(difference -> LOG.errorf("agent: account broken, %s", difference));
    }

    private ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        AgentAccount.Totals totals = account.totals();
        dump.putObject("dispatches")
                .put("received", totals.received())
                .put("refused", totals.refused())
                .put("complete", totals.complete())
                .put("failed", totals.failed())
                .put("cancelled", totals.cancelled())
                .put("running", running.size());
        dump.put("imbalance", account.imbalance(running.size()).orElse(""));
        dump.put("servingAllowed", servingAllowed);
        dump.put("leaving", leavingReason.orElse(""));
        var linkNames = dump.putArray("links");
        links.forEach(link -> linkNames.add(link.toString()));
        dump.set("load", loadReports.dump());
        return dump;
    }
}
