package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.duty.Duty;
import org.aspenmoor.internal.duty.Ticker;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.link.LinkListener;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.platform.CollectionListener;
import org.aspenmoor.internal.platform.WatchedCollection;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;
import org.jboss.logging.Logger;

/** A running entry: its desk, its links, and what it follows in the store. */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final int RING_SIZE = 8192;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final List<ObjectKind> FOLLOWED =
            List.of(ObjectKind.DOCUMENT, ObjectKind.AGENT_REGISTRATION, ObjectKind.HOST);

    private final EntrySettings settings;
    private final Duty<EntryMessage> desk;
    private final LinkNetwork network;
    private final Ticker ticker = new Ticker();
    private final List<WatchedCollection> followed = new ArrayList<>();
    private final AtomicInteger synchronisedKinds = new AtomicInteger();
    private volatile boolean stopping;

    public EntryProcess(
            EntrySettings settings,
            ObjectStore store,
            CollectionFactory collections,
            TimeSource time,
            RandomGenerator random,
            EntryMetrics metrics) {
        this.settings = settings;
        this.network = new LinkNetwork(hello(settings.process(), random), new DeskLinks());
        RequestDesk handler = new RequestDesk(
                settings,
                time,
                new AgentDirectory(network),
                new LeastSentChooser(random),
                new DocumentShelf(),
                metrics);
        this.desk = new Duty<>("entry-desk", RING_SIZE, handler);
        FOLLOWED.forEach(kind -> followed.add(collections.follow(store, kind, new DeskObjects())));
    }

    /** Starts the threads and returns the link port. */
    public int start() throws AspenmoorException {
        desk.start();
        int port =
                network.listen(settings.process().address(), settings.process().linkPort());
        followed.forEach(WatchedCollection::start);
        ticker.every(TICK, () -> desk.offer(new EntryMessage.Tick()));
        LOG.infof(
                "entry: %s in %s, link port %d",
                settings.process().name(), settings.process().dataCentre(), port);
        return port;
    }

    /** Returns the duty that callers' requests go to. */
    public Duty<EntryMessage> desk() {
        return desk;
    }

    /** Says whether the entry knows its documents and takes requests. */
    public boolean isReady() {
        return !stopping && synchronisedKinds.get() >= FOLLOWED.size();
    }

    /** Asks for the state. */
    public CompletableFuture<ObjectNode> dump() {
        CompletableFuture<ObjectNode> answer = new CompletableFuture<>();
        desk.put(new EntryMessage.DumpAsked(answer));
        return answer.thenApply(node -> {
            node.put("process", settings.process().name());
            node.put("role", "entry");
            desk.state().writeTo(node.putObject("duty"));
            return node;
        });
    }

    /** Asks what became of a request. */
    public CompletableFuture<Optional<RequestStory>> story(RequestId id) {
        CompletableFuture<Optional<RequestStory>> answer = new CompletableFuture<>();
        desk.put(new EntryMessage.StoryAsked(id, answer));
        return answer;
    }

    /** Begins a graceful shutdown; complete once no request is held any more. */
    public CompletableFuture<Void> drain() {
        stopping = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        desk.put(new EntryMessage.DrainAsked(drained));
        return drained;
    }

    @Override
    public void close() {
        ticker.close();
        followed.forEach(WatchedCollection::close);
        network.close();
        desk.close();
    }

    private static Hello hello(ProcessSettings process, RandomGenerator random) {
        return Hello.newBuilder()
                .setProtocolVersion(FramePipeline.PROTOCOL_VERSION)
                .setProcess(process.name())
                .setIncarnation(RequestId.draw(random).toString())
                .setDataCentre(process.dataCentre())
                .build();
    }

    /** Puts what happens on links into the desk's ring, slowing the network down where the desk lags. */
    private final class DeskLinks implements LinkListener {
        @Override
        public void opened(Link link) {
            desk.put(new EntryMessage.LinkOpened(link));
        }

        @Override
        public void received(Link link, Frame frame) {
            desk.put(new EntryMessage.FrameArrived(link, frame));
        }

        @Override
        public void closed(Link link, String cause) {
            desk.put(new EntryMessage.LinkClosed(link, cause));
        }
    }

    /** Puts what changes in the store into the desk's ring. */
    private final class DeskObjects implements CollectionListener {
        private boolean synchronisedOnce;

        @Override
        public void changed(StoredObject object) {
            desk.put(new EntryMessage.ObjectChanged(object));
        }

        @Override
        public void deleted(StoredObject object) {
            desk.put(new EntryMessage.ObjectDeleted(object));
        }

        @Override
        public void synchronised() {
            if (!synchronisedOnce) {
                synchronisedOnce = true;
                synchronisedKinds.incrementAndGet();
            }
        }

        @Override
        public void interrupted(StoreException cause) {
            LOG.warnf("entry: a watch was interrupted, serving goes on with what is known: %s", cause.problem());
        }
    }
}
