package org.aspenmoor.internal.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.internal.authority.PauseDetector;
import org.aspenmoor.internal.link.EmbeddedLink;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.settings.BackendSettings;
import org.aspenmoor.internal.settings.BackendType;
import org.aspenmoor.internal.settings.LogFormat;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.wire.AttemptIds;
import org.aspenmoor.internal.wire.v1.Credit;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Last;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AgentEventLoopTest {
    private static final AttemptKey FIRST = new AttemptKey(new org.aspenmoor.RequestId(1, 2), 1);

    private final List<AttemptKey> started = new ArrayList<>();
    private final ManualTimeSource time = new ManualTimeSource();
    private final List<AgentMessage> orderMessages = new ArrayList<>();
    private EventLoopDrain drain;
    private final AtomicInteger requestedReads = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private AgentEventLoop eventLoop;
    private EmbeddedLink entry;

    @BeforeMethod
    public void createEventLoop() {
        started.clear();
        requestedReads.set(0);
        cancelled.set(0);
        running.set(0);
        orderMessages.clear();
        drain = new EventLoopDrain(orderMessages::add, new PauseDetector(time, Duration.ofSeconds(5)));
        eventLoop = new AgentEventLoop(
                settings(),
                this::startCall,
                new LoadReportFilter("drafter-1", time),
                running::set,
                drain,
                new AgentMetrics(new PrometheusRegistry()));
        entry = EmbeddedLink.openFromAgentOf("");
        eventLoop.handle(new AgentMessage.LinkOpened(entry.link()));
    }

    // A caller reads slowly. Without credit the agent would continue to read from the engine, and the complete answer
    // would accumulate in the memory of the entry.
    @Test
    public void should_send_no_more_chunks_than_the_credit_allows() {
        dispatch(FIRST, 2);

        pieces(FIRST, "a", "b", "c");

        assertEquals(chunksOf(entry.takeSent()), List.of("a", "b"));
        assertEquals(requestedReads.get(), 0);
        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), credit(FIRST, 2)));
        assertEquals(chunksOf(entry.takeSent()), List.of("c"));
        assertEquals(requestedReads.get(), 1);
    }

    @Test
    public void should_send_the_last_frame_with_the_count_only_after_the_last_chunk() {
        dispatch(FIRST, 1);
        pieces(FIRST, "a", "b");
        eventLoop.handle(new AgentMessage.AnswerEnded(FIRST, new CallEnd.Complete("stop")));
        assertTrue(entry.takeSent().stream().noneMatch(Frame::hasLast));

        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), credit(FIRST, 1)));

        Last last = entry.takeSent().getLast().getLast();
        assertEquals(last.getEnd(), Last.End.COMPLETE);
        assertEquals(last.getCount(), 2);
    }

    // The engine has crashed and refuses connections. Nothing ran, and the agent reports so, so that even a request
    // that must not run twice can be sent to another server.
    @Test
    public void should_report_that_a_request_never_started_when_the_connection_failed() {
        dispatch(FIRST, 4);

        eventLoop.handle(new AgentMessage.AnswerEnded(FIRST, new CallEnd.NeverStarted("connection refused")));

        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // A dispatch is delivered twice. Without the check the booking would be made twice under one attempt id.
    @Test
    public void should_refuse_a_dispatch_when_the_attempt_is_already_running() {
        dispatch(FIRST, 4);
        dispatch(FIRST, 4);

        assertEquals(started, List.of(FIRST));
        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // The deadline of the request passed in transit; running it would take capacity from requests that can still
    // finish.
    @Test
    public void should_refuse_a_dispatch_when_its_deadline_has_passed() {
        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), dispatchFrame(FIRST, 4, 0)));

        assertTrue(started.isEmpty());
        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // The entry was killed. Nobody receives its answers any more, and engines would continue to generate them.
    @Test
    public void should_cancel_calls_when_the_link_to_the_entry_closes() {
        dispatch(FIRST, 4);

        eventLoop.handle(new AgentMessage.LinkClosed(entry.link()));

        assertEquals(cancelled.get(), 1);
        assertEquals(running.get(), 0);
    }

    // The host will be stopped. Cutting the stream off would leave the caller with a partial answer.
    @Test
    public void should_finish_running_requests_and_refuse_new_ones_when_draining() {
        dispatch(FIRST, 4);
        CompletableFuture<Void> drained = new CompletableFuture<>();
        eventLoop.handle(new AgentMessage.DrainAsked("stopping", drained));
        assertFalse(drained.isDone());

        dispatch(new AttemptKey(new org.aspenmoor.RequestId(3, 4), 1), 4);
        eventLoop.handle(new AgentMessage.AnswerEnded(FIRST, new CallEnd.Complete("stop")));

        assertEquals(started, List.of(FIRST));
        assertTrue(drained.isDone());
    }

    // An order is about to be sent while a dispatch is ahead of the drain in the ring buffer of the event loop. If the
    // count were used before the event loop has processed the drain, the order would cut off the stream that is
    // accepted next.
    @Test
    public void should_refuse_dispatches_while_the_order_thread_forbids_serving() {
        List<String> acknowledgements = new ArrayList<>();
        dispatch(FIRST, 4);
        eventLoop.handle(
                new AgentMessage.ServingAllowed(false, 0, () -> acknowledgements.add("running " + running.get())));

        dispatch(new AttemptKey(new org.aspenmoor.RequestId(3, 4), 1), 4);

        assertEquals(acknowledgements, List.of("running 1"));
        assertEquals(started, List.of(FIRST));
    }

    // The whole process is paused, and another agent takes over the engine. Dispatches from before the pause wait in
    // the ring buffer; if accepted, they would be cut off by the order of the successor.
    @Test
    public void should_refuse_dispatches_after_a_pause_until_ownership_of_the_engine_is_confirmed() {
        time.advance(Duration.ofSeconds(6));
        dispatch(FIRST, 4);
        assertTrue(started.isEmpty());
        assertTrue(drain.checkForPause());

        drain.endDrain();
        orderMessages.forEach(eventLoop::handle);
        dispatch(FIRST, 4);

        assertEquals(started, List.of(FIRST));
    }

    // The order thread was about to permit work when the process was paused, and does so after the pause without
    // knowing of it. Work accepted on this permission could be cut off by another agent that has taken over the engine.
    @Test
    public void should_ignore_a_permission_when_it_was_given_without_knowledge_of_a_pause() {
        drain.beginDrain();
        orderMessages.forEach(eventLoop::handle);
        orderMessages.clear();
        drain.endDrain();

        time.advance(Duration.ofSeconds(6));
        orderMessages.forEach(eventLoop::handle);
        dispatch(FIRST, 4);

        assertTrue(started.isEmpty());
    }

    private BackendCall startCall(AttemptKey key, Dispatch dispatch) {
        started.add(key);
        return new BackendCall() {
            @Override
            public void requestMore() {
                requestedReads.incrementAndGet();
            }

            @Override
            public void cancel() {
                cancelled.incrementAndGet();
            }
        };
    }

    private void dispatch(AttemptKey key, int chunkCredit) {
        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), dispatchFrame(key, chunkCredit, 5000)));
    }

    private static Frame dispatchFrame(AttemptKey key, int chunkCredit, int deadlineMilliseconds) {
        return Frame.newBuilder()
                .setDispatch(Dispatch.newBuilder()
                        .setId(key.toWire())
                        .setChunkCredit(chunkCredit)
                        .setDeadlineMilliseconds(deadlineMilliseconds))
                .build();
    }

    private static Frame credit(AttemptKey key, int chunks) {
        return Frame.newBuilder()
                .setCredit(Credit.newBuilder()
                        .setId(AttemptIds.of(key.request().high(), key.request().low(), key.attempt()))
                        .setChunks(chunks))
                .build();
    }

    private void pieces(AttemptKey key, String... texts) {
        List<AnswerPiece> pieces = new ArrayList<>();
        for (String text : texts) {
            pieces.add(new AnswerPiece(text.getBytes(StandardCharsets.UTF_8), 1));
        }
        eventLoop.handle(new AgentMessage.PiecesArrived(key, pieces));
    }

    private static List<String> chunksOf(List<Frame> frames) {
        return frames.stream()
                .filter(Frame::hasChunk)
                .map(frame -> frame.getChunk().getData().toStringUtf8())
                .toList();
    }

    private static AgentSettings settings() {
        URI unusedUri = URI.create("http://127.0.0.1:1/");
        return new AgentSettings(
                new ProcessSettings("agent-1", "almaty-1", "127.0.0.1", 0, 0, unusedUri, 20, LogFormat.TEXT),
                new BackendSettings("drafter-1", "studio", "drafting", "host-1", BackendType.ENGINE, unusedUri),
                8,
                Duration.ofSeconds(30));
    }
}
