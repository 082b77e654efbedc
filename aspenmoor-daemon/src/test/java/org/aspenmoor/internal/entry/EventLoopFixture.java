package org.aspenmoor.internal.entry;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claims.ClaimMessage;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.link.EmbeddedLink;
import org.aspenmoor.internal.link.LinkListener;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.membership.MembershipView;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.retry.BreakerSettings;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.PrefixChain;
import org.aspenmoor.internal.routing.RouterSettings;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.LogFormat;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.stream.AttemptChecksum;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.wire.v1.AttemptId;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Last;
import org.aspenmoor.internal.wire.v1.LoadReport;
import org.aspenmoor.internal.wire.v1.Refused;
import org.aspenmoor.internal.wire.v1.Started;

/**
 * An event loop with one engine service and one plain service, two backend servers each, and links without a network.
 */
final class EventLoopFixture {
    static final String TOKEN = "studio-token";

    private static final String DOCUMENT = """
            {"team": "studio", "service": "%s", "revision": 1, "callerTokenHashes": ["%s"],
             "models": [%s],
             "kinds": [{"name": "%s", "weight": 5, "deadlineSeconds": 30, "idempotent": %s,
                        "longestOutputTokens": 64}],
             "%s": [{"name": "%s-1", "dataCentre": "almaty-1"}, {"name": "%s-2", "dataCentre": "almaty-1"}]}""";

    private final ManualTimeSource time = new ManualTimeSource();
    private final RandomGenerator random = new Random(1);
    private final Map<String, EmbeddedLink> links = new HashMap<>();
    private final Map<AttemptId, AttemptChecksum> checksums = new HashMap<>();
    private final List<ClaimMessage> claimMessages = new ArrayList<>();
    private final LinkNetwork network =
            new LinkNetwork(org.aspenmoor.internal.wire.v1.Hello.getDefaultInstance(), new UnusedListener());
    private final Worker<ClaimMessage> claimWorker = new Worker<>("test-claims", 16, claimMessages::add);
    private final EntryEventLoop eventLoop;
    private long requestCount;

    EventLoopFixture() {
        EntrySettings settings = settings();
        DocumentRegistry registry = new DocumentRegistry(time);
        ServiceQueues serviceQueues = new ServiceQueues(registry, RouterSettings.defaults("almaty-1"), 16, random);
        AgentDirectory directory = new AgentDirectory(
                network,
                new MembershipView(MembershipTimeouts.of(settings.leavingBound()), time),
                () -> new CircuitBreaker(BreakerSettings.DEFAULT, time, random),
                serviceQueues);
        eventLoop = new EntryEventLoop(
                settings,
                time,
                directory,
                serviceQueues,
                new ClaimClient(claimWorker),
                new DocumentIndex(registry),
                new EntryMetrics(new PrometheusRegistry()));
        addService("drafting", "{\"name\": \"drafter\", \"version\": \"1\"}", "cue", true, "engines", "drafter");
        addService("desk", "", "booking", false, "plainServices", "desk");
    }

    EntryEventLoop eventLoop() {
        return eventLoop;
    }

    ManualTimeSource time() {
        return time;
    }

    void close() {
        network.close();
    }

    /** Connects a backend server and reports it ready. */
    EmbeddedLink connect(String backend, String service, String... loaded) {
        AgentRegistration registration = new AgentRegistration(
                backend, "studio", service, "host-" + backend, "almaty-1", "127.0.0.1", 1, "incarnation-" + backend);
        storeObject(ObjectKind.AGENT_REGISTRATION, backend, registration.write());
        EmbeddedLink link = EmbeddedLink.openFromAgentOf(backend);
        links.put(backend, link);
        eventLoop.handle(new EntryMessage.LinkOpened(link.link()));
        receive(
                link,
                Frame.newBuilder()
                        .setLoadReport(LoadReport.newBuilder()
                                .setBackend(backend)
                                .setSequence(1)
                                .setRole("WHOLE")
                                .setReady(true)
                                .setMostSequences(16)
                                .setFreeCachePieces(100)
                                .setAllCachePieces(100)
                                .addAllLoaded(List.of(loaded)))
                        .build());
        return link;
    }

    RecordingSink generate(String token) {
        CompletionRequest request = new CompletionRequest(
                "drafter", Optional.empty(), false, true, Optional.empty(), 20, PrefixChain.none(), new byte[] {'{', '}'
                });
        return submit(token, new CallerWork.Generation(request), Optional.empty());
    }

    RecordingSink requestBooking(Optional<String> key) {
        byte[] body = "booth 3".getBytes(StandardCharsets.UTF_8);
        return submit(TOKEN, new CallerWork.PlainCall("desk", "POST", "/bookings", List.of(), body), key);
    }

    RequestId lastId() {
        return new RequestId(7, requestCount);
    }

    /** Returns the first dispatch sent to a backend server since the last call, if any. */
    Optional<Dispatch> dispatchTo(EmbeddedLink link) {
        return link.takeSent().stream()
                .filter(Frame::hasDispatch)
                .map(Frame::getDispatch)
                .findFirst();
    }

    void chunk(EmbeddedLink link, AttemptId id, String text) {
        AttemptChecksum checksum = checksums.computeIfAbsent(id, attempt -> new AttemptChecksum());
        byte[] data = text.getBytes(StandardCharsets.UTF_8);
        receive(
                link,
                Frame.newBuilder()
                        .setChunk(Chunk.newBuilder()
                                .setId(id)
                                .setSequence(checksum.add(data))
                                .setData(ByteString.copyFrom(data))
                                .setTokens(1))
                        .build());
    }

    void started(EmbeddedLink link, AttemptId id, int status) {
        receive(
                link,
                Frame.newBuilder()
                        .setStarted(Started.newBuilder().setId(id).setStatus(status))
                        .build());
    }

    void complete(EmbeddedLink link, AttemptId id, int checksumError) {
        AttemptChecksum checksum = checksums.computeIfAbsent(id, attempt -> new AttemptChecksum());
        receive(
                link,
                Frame.newBuilder()
                        .setLast(Last.newBuilder()
                                .setId(id)
                                .setEnd(Last.End.COMPLETE)
                                .setCount(checksum.count())
                                .setChecksum(checksum.value() + checksumError))
                        .build());
    }

    void refuse(EmbeddedLink link, AttemptId id) {
        receive(
                link,
                Frame.newBuilder()
                        .setRefused(Refused.newBuilder().setId(id).setReason("NO_BACKEND"))
                        .build());
    }

    void closeLink(EmbeddedLink link) {
        eventLoop.handle(new EntryMessage.LinkClosed(link.link(), "connection reset"));
    }

    void receive(EmbeddedLink link, Frame frame) {
        eventLoop.handle(new EntryMessage.FrameArrived(link.link(), frame));
    }

    void storeObject(ObjectKind kind, String name, String value) {
        eventLoop.handle(new EntryMessage.ObjectChanged(
                new StoredObject(new ObjectKey(kind, "studio", name), String.valueOf(random.nextInt()), value)));
    }

    private RecordingSink submit(String token, CallerWork work, Optional<String> key) {
        requestCount++;
        RecordingSink sink = new RecordingSink();
        eventLoop.handle(new EntryMessage.RequestCame(new IncomingRequest(lastId(), token, work, key, sink)));
        return sink;
    }

    private void addService(
            String service, String model, String kind, boolean idempotent, String list, String backend) {
        storeObject(
                ObjectKind.DOCUMENT,
                service,
                DOCUMENT.formatted(service, hash(TOKEN), model, kind, idempotent, list, backend, backend));
    }

    private static String hash(String token) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    private static EntrySettings settings() {
        return new EntrySettings(
                new ProcessSettings(
                        "entry-1",
                        "almaty-1",
                        "127.0.0.1",
                        0,
                        0,
                        URI.create("http://127.0.0.1:1/"),
                        20,
                        LogFormat.TEXT),
                new CallerLimits(1024, 1024, 1024, 16, 8),
                Duration.ofSeconds(3),
                Duration.ofSeconds(5),
                EngineSpeed.defaults(),
                List.of());
    }

    private static final class UnusedListener implements LinkListener {
        @Override
        public void opened(org.aspenmoor.internal.link.Link link) {
            throw new AssertionError("unexpected link event: no process listens in this test");
        }

        @Override
        public void received(org.aspenmoor.internal.link.Link link, Frame frame) {
            throw new AssertionError("unexpected link event: no process listens in this test");
        }

        @Override
        public void closed(org.aspenmoor.internal.link.Link link, String cause) {
            throw new AssertionError("unexpected link event: no process listens in this test");
        }
    }
}
