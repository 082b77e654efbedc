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
import org.aspenmoor.internal.authority.PauseWatch;
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
    private final List<AgentMessage> fromOrders = new ArrayList<>();
    private EventLoopDrain drain;
    private final AtomicInteger wanted = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private AgentEventLoop eventLoop;
    private EmbeddedLink entry;

    @BeforeMethod
    public void begin() {
        started.clear();
        wanted.set(0);
        cancelled.set(0);
        running.set(0);
        fromOrders.clear();
        drain = new EventLoopDrain(fromOrders::add, new PauseWatch(time, Duration.ofSeconds(5)));
        eventLoop = new AgentEventLoop(
                settings(),
                this::startCall,
                new LoadReports("drafter-1", time),
                running::set,
                drain,
                new AgentMetrics(new PrometheusRegistry()));
        entry = EmbeddedLink.openFromAgentOf("");
        eventLoop.handle(new AgentMessage.LinkOpened(entry.link()));
    }

    // A caller reads slowly. Without credit the agent would go on reading from the engine, and the whole answer would
    // pile up in the memory of the entry.
    @Test
    public void should_send_no_more_chunks_than_the_credit_allows() {
        dispatch(FIRST, 2);

        pieces(FIRST, "a", "b", "c");

        assertEquals(chunksOf(entry.takeSent()), List.of("a", "b"));
        assertEquals(wanted.get(), 0);
        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), credit(FIRST, 2)));
        assertEquals(chunksOf(entry.takeSent()), List.of("c"));
        assertEquals(wanted.get(), 1);
    }

    @Test
    public void should_close_an_answer_with_its_count_only_after_its_last_chunk() {
        dispatch(FIRST, 1);
        pieces(FIRST, "a", "b");
        eventLoop.handle(new AgentMessage.AnswerEnded(FIRST, new CallEnd.Complete("stop")));
        assertTrue(entry.takeSent().stream().noneMatch(Frame::hasLast));

        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), credit(FIRST, 1)));

        Last last = entry.takeSent().getLast().getLast();
        assertEquals(last.getEnd(), Last.End.COMPLETE);
        assertEquals(last.getCount(), 2);
    }

    // The engine has crashed and takes no connection. Nothing ran, and the agent says so, so that even a request that
    // must not run twice can go elsewhere.
    @Test
    public void should_state_that_a_request_never_started_when_no_connection_came_about() {
        dispatch(FIRST, 4);

        eventLoop.handle(new AgentMessage.AnswerEnded(FIRST, new CallEnd.NeverStarted("connection refused")));

        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // A frame is delivered twice. Without the check the booking would be made twice under one name.
    @Test
    public void should_refuse_a_dispatch_that_runs_already() {
        dispatch(FIRST, 4);
        dispatch(FIRST, 4);

        assertEquals(started, List.of(FIRST));
        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // The caller's deadline has passed on the way; an engine that worked on it would take room from live requests.
    @Test
    public void should_refuse_expired_work() {
        eventLoop.handle(new AgentMessage.FrameArrived(entry.link(), dispatchFrame(FIRST, 4, 0)));

        assertTrue(started.isEmpty());
        assertTrue(entry.takeSent().getLast().hasRefused());
    }

    // The entry was killed. Nobody takes its answers any more, and engines would go on generating for nobody.
    @Test
    public void should_cancel_calls_when_the_entry_is_gone() {
        dispatch(FIRST, 4);

        eventLoop.handle(new AgentMessage.LinkClosed(entry.link()));

        assertEquals(cancelled.get(), 1);
        assertEquals(running.get(), 0);
    }

    // The host is to be stopped. Cutting the stream would leave the caller with half a draft.
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

    // An order is about to be given while a dispatch is still before the drain in the event loop's ring. If the count
    // were
    // trusted before the event loop has heard, the stream that is let in next would be cut by the order.
    @Test
    public void should_let_no_work_in_while_the_order_thread_forbids_it() {
        List<String> heard = new ArrayList<>();
        dispatch(FIRST, 4);
        eventLoop.handle(new AgentMessage.ServingAllowed(false, 0, () -> heard.add("running " + running.get())));

        dispatch(new AttemptKey(new org.aspenmoor.RequestId(3, 4), 1), 4);

        assertEquals(heard, List.of("running 1"));
        assertEquals(started, List.of(FIRST));
    }

    // The host stops the whole process for a while, and another agent takes the engine over. Dispatches from before the
    // pause wait in the ring; let in, they would be cut in the middle of the successor's change.
    @Test
    public void should_let_nothing_in_after_a_pause_until_the_right_to_the_engine_is_proved() {
        time.advance(Duration.ofSeconds(6));
        dispatch(FIRST, 4);
        assertTrue(started.isEmpty());
        assertTrue(drain.learnsOfPause());

        drain.endDrain();
        fromOrders.forEach(eventLoop::handle);
        dispatch(FIRST, 4);

        assertEquals(started, List.of(FIRST));
    }

    // The order thread was about to let work in when the process was paused, and does so after waking, not yet knowing.
    @Test
    public void should_not_count_a_permission_that_was_given_without_knowing_of_the_pause() {
        drain.beginDrain();
        fromOrders.forEach(eventLoop::handle);
        fromOrders.clear();
        drain.endDrain();

        time.advance(Duration.ofSeconds(6));
        fromOrders.forEach(eventLoop::handle);
        dispatch(FIRST, 4);

        assertTrue(started.isEmpty());
    }

    private BackendCall startCall(AttemptKey key, Dispatch dispatch) {
        started.add(key);
        return new BackendCall() {
            @Override
            public void wantMore() {
                wanted.incrementAndGet();
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
        List<Piece> pieces = new ArrayList<>();
        for (String text : texts) {
            pieces.add(new Piece(text.getBytes(StandardCharsets.UTF_8), 1));
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
        URI anywhere = URI.create("http://127.0.0.1:1/");
        return new AgentSettings(
                new ProcessSettings("agent-1", "almaty-1", "127.0.0.1", 0, 0, anywhere, 20, LogFormat.TEXT),
                new BackendSettings("drafter-1", "studio", "drafting", "host-1", BackendType.ENGINE, anywhere),
                8,
                Duration.ofSeconds(30));
    }
}
