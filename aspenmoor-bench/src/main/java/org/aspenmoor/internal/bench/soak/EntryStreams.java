package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.accounting.ChunkCounters;
import org.aspenmoor.internal.accounting.RequestCounters;
import org.aspenmoor.internal.retry.RetryBudget;
import org.aspenmoor.internal.retry.RetryDecision;
import org.aspenmoor.internal.stream.AnswerAssembler;
import org.aspenmoor.internal.stream.ChunkDecision;
import org.aspenmoor.internal.stream.EndDecision;

/** The streams of one entry: what each caller was given is compared, piece by piece, with the whole answer. */
final class EntryStreams {
    private static final Duration SILENCE = Duration.ofSeconds(5);
    private static final int MOST_ATTEMPTS = 12;
    private static final int MOST_TOKENS = 40;
    private static final int MOST_STREAMS = 6;

    private final SoakWorld world;
    private final EntryProcess entry;
    private final RequestCounters requests = new RequestCounters();
    private final ChunkCounters chunks = new ChunkCounters();
    private final RetryBudget budget = new RetryBudget(0.5, 20, Duration.ofSeconds(1));
    private final Map<RequestId, Open> open = new LinkedHashMap<>();

    EntryStreams(SoakWorld world, EntryProcess entry) {
        this.world = world;
        this.entry = entry;
    }

    /** Takes a new request from a caller. */
    void request() {
        if (open.size() >= MOST_STREAMS) {
            return;
        }
        StreamRequest request = new StreamRequest(
                RequestId.draw(world.random()), 1 + world.random().nextInt(MOST_TOKENS));
        requests.countReceived();
        budget.recordFirstAttempt();
        Open stream = new Open(request);
        open.put(request.id(), stream);
        dispatch(stream);
    }

    /** Moves streams on whose attempt is silent. */
    void resumeSilent() {
        for (Open stream : List.copyOf(open.values())) {
            if (world.now() - stream.lastHeard >= SILENCE.toNanos()) {
                retry(stream);
            }
        }
        requests.imbalance(open.size()).ifPresent(world.violations()::report);
        chunks.imbalance().ifPresent(world.violations()::report);
    }

    void received(StreamFrame frame) {
        if (frame instanceof StreamFrame.Piece) {
            chunks.countReceived();
        }
        Open stream = open.get(frame.request());
        if (stream == null) {
            if (frame instanceof StreamFrame.Piece) {
                chunks.countDiscarded();
            }
            return;
        }
        switch (frame) {
            case StreamFrame.Piece piece -> piece(stream, piece);
            case StreamFrame.End end -> end(stream, end);
            case StreamFrame.Refusal refusal -> refusal(stream, refusal);
        }
    }

    private void piece(Open stream, StreamFrame.Piece piece) {
        int before = stream.assembly.deliveredTokens();
        ChunkDecision verdict =
                stream.assembly.onChunk(piece.attempt(), piece.sequence(), piece.data(), piece.data().length);
        chunks.countDecision(verdict);
        switch (verdict) {
            case ChunkDecision.Deliver deliver -> {
                stream.lastHeard = world.now();
                checkDelivered(stream, before, piece.data());
            }
            case ChunkDecision.Discard discard -> world.streams().discarded();
            case ChunkDecision.Broken broken -> retry(stream);
        }
    }

    private void checkDelivered(Open stream, int position, byte[] data) {
        for (int index = 0; index < data.length; index++) {
            boolean beyondEnd = position + index >= stream.request.tokens();
            if (beyondEnd || data[index] != stream.request.token(position + index)) {
                world.violations()
                        .report("request " + stream.request.id() + " was given a wrong token at " + (position + index)
                                + " in attempt " + stream.assembly.attempt());
                return;
            }
        }
    }

    private void end(Open stream, StreamFrame.End end) {
        switch (stream.assembly.onLastFrame(end.attempt(), end.count(), end.checksum())) {
            case EndDecision.Complete whole -> {
                if (stream.assembly.deliveredTokens() != stream.request.tokens()) {
                    world.violations().report("request " + stream.request.id() + " was called whole and is cut");
                }
                world.streams().whole(stream.assembly.attempt());
                finish(stream, new Outcome.Answered(200));
            }
            case EndDecision.Discard discard -> world.streams().discarded();
            case EndDecision.Broken broken -> retry(stream);
        }
    }

    private void refusal(Open stream, StreamFrame.Refusal refusal) {
        stream.mayHaveStarted.remove(refusal.attempt());
        if (stream.assembly.isCurrent(refusal.attempt())) {
            stream.lastHeard = world.now() - SILENCE.toNanos();
        }
    }

    private void retry(Open stream) {
        boolean allowed =
                stream.assembly.attempt() < MOST_ATTEMPTS && budget.tryAcquire() instanceof RetryDecision.Granted;
        if (!allowed) {
            giveUp(stream);
            return;
        }
        dispatch(stream);
    }

    private void giveUp(Open stream) {
        world.streams().cut();
        if (!stream.mayHaveStarted.isEmpty()) {
            finish(stream, new Outcome.Unknown("The answer was cut."));
            return;
        }
        if (world.streams().started(stream.request.id())) {
            world.violations().report("stream " + stream.request.id() + " was called not run and has run");
        }
        finish(
                stream,
                new Outcome.NotRun(RefusalReason.RETRY_BUDGET_SPENT, Duration.ofSeconds(1), "No engine took it."));
    }

    private void finish(Open stream, Outcome outcome) {
        open.remove(stream.request.id());
        requests.countFinished(outcome);
    }

    private void dispatch(Open stream) {
        int attempt = stream.assembly.beginAttempt();
        int delivered = stream.assembly.deliveredTokens();
        stream.lastHeard = world.now();
        Optional<AgentProcess> agent = entry.anyAgent();
        if (agent.isEmpty()) {
            return;
        }
        stream.mayHaveStarted.add(attempt);
        agent.get().deliver(() -> agent.get().dispatched(stream.request, attempt, delivered, entry));
    }

    /** A request that has not ended. */
    private static final class Open {
        private final StreamRequest request;
        private final AnswerAssembler assembly = new AnswerAssembler();
        private final Set<Integer> mayHaveStarted = new HashSet<>();
        private long lastHeard;

        Open(StreamRequest request) {
            this.request = request;
        }
    }
}
