package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.standin.TestReports;
import org.aspenmoor.internal.serving.AssignedPrompt;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.EventIntervals;
import org.aspenmoor.internal.serving.EventSize;
import org.aspenmoor.internal.serving.LearnedSpeed;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PromptPart;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.limit.ShareClaim;
import org.aspenmoor.internal.serving.limit.SlotLoan;
import org.aspenmoor.internal.serving.limit.StatedLimit;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.serving.origin.VersionSighting;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageLedger;
import org.aspenmoor.internal.wire.v1.PeerLoad;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerExchangeTest {
    private static final long MAX_WAIT_SECONDS = 20;
    private static final List<EventSize> LENGTHS = List.of(new EventSize("drafting", 55));
    private static final List<RoleChange> CHANGES = List.of(new RoleChange("server", EngineRole.PREFILL));
    private static final Map<String, EntryLoad> SHARES =
            Map.of("server", new EntryLoad(0.25, 3, new EventIntervals(2, 0.125), 0));
    private static final List<AssignedPrompt> PROMPTS =
            List.of(new AssignedPrompt("server", List.of(new PromptPart("5c1e", 800), new PromptPart("91bd", 410))));

    private static final List<LearnedSpeed> SPEEDS =
            List.of(new LearnedSpeed("drafting", EngineRole.DECODE, 0.25, 0.015625));

    private static final List<ServerTermination> TERMINATIONS = List.of(new ServerTermination(
            new SuspectDigest(-1, 5),
            new ServerIncarnation("server", 1_786_504_654_297L),
            Duration.ofMillis(250),
            true));

    private static final List<ServerIncarnation> DRAINING =
            List.of(new ServerIncarnation("draining", 1_700_000_000_000L));
    private static final List<StatedLimit> LIMITS = List.of(
            new StatedLimit(
                    "limited",
                    1_786_504_654_297L,
                    Optional.of(5.5),
                    Duration.ofMillis(40),
                    new ShareClaim(2.5, 1, -7),
                    List.of(new SlotLoan(3, "entry-2", -9, Duration.ofMillis(2_500)))),
            new StatedLimit(
                    "free",
                    1_786_504_654_298L,
                    Optional.empty(),
                    Duration.ofMillis(900),
                    new ShareClaim(0.5, -1, 8),
                    List.of()));

    private static final List<VersionSighting> VERSIONS =
            List.of(new VersionSighting("drafting", new SoftwareVersion("v1.2"), Duration.ofMillis(1_500)));

    private static final Optional<DutyStatus> DUTIES =
            Optional.of(new DutyStatus(true, false, 353_445_120L, 1_786_504_654_297L));

    private static final OrderStanding STANDING = new OrderStanding("entry-1", false, 41);

    private NioEventLoopGroup group;
    private DecisionLog log;

    @BeforeMethod
    public void start() {
        group = new NioEventLoopGroup(1);
        log = new DecisionLog(
                new SystemTimeSource(),
                "test",
                new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    }

    @AfterMethod
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void should_restore_a_report_when_parsing_its_serialised_form() throws Exception {
        PeerReport report = fullReport("entry-1", 7, 9);

        assertEquals(PeerReportCodec.parse(PeerLoad.parseFrom(PeerReportCodec.serialise(report))), Optional.of(report));
    }

    @Test
    public void should_return_empty_when_the_message_is_not_a_report() {
        assertEquals(PeerReportCodec.parse(PeerLoad.getDefaultInstance()), Optional.empty());
    }

    // Guards against an entry that fails because it has seen two software versions before its port is open.
    @Test
    public void should_create_no_report_when_the_port_is_not_open_yet() {
        PeerExchange exchange = new PeerExchange(
                "entry-1",
                new SystemTimeSource(),
                group.next(),
                log,
                new QueueingListener(new LinkedBlockingQueue<>(), new LinkedBlockingQueue<>()));
        List<Long> reported = new ArrayList<>();

        exchange.sendReport((entry, incarnation, sequence) -> {
            reported.add(sequence);
            return fullReport(entry, incarnation, sequence);
        });

        assertEquals(reported, List.of());
    }

    // An entry that has just started is not yet known to the others. It sends them a report, and they reply to its
    // sender address.
    @Test
    public void should_exchange_reports_when_only_one_entry_knows_the_other() throws Exception {
        BlockingQueue<PeerReport> receivedByOld = new LinkedBlockingQueue<>();
        BlockingQueue<PeerReport> receivedByNew = new LinkedBlockingQueue<>();
        PeerExchange oldEntry = exchange("old", receivedByOld);
        PeerExchange newEntry = exchange("young", receivedByNew);
        group.next()
                .submit(() -> newEntry.replacePeers(Map.of("old", oldEntry.address())))
                .sync();
        group.next()
                .submit(() -> newEntry.sendReport(PeerExchangeTest::fullReport))
                .sync();

        PeerReport received = receivedByOld.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(received.entry(), "young");
        assertEquals(received.loads(), SHARES);
        assertEquals(received.prompts(), PROMPTS);

        group.next().submit(() -> oldEntry.sendReport(TestReports::last)).sync();
        assertTrue(receivedByNew.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS).stopping());
    }

    private static PeerReport fullReport(String entry, long incarnation, long sequence) {
        return new PeerReport(
                entry,
                incarnation,
                sequence,
                SHARES,
                PROMPTS,
                SPEEDS,
                LENGTHS,
                CHANGES,
                TERMINATIONS,
                LIMITS,
                DRAINING,
                VERSIONS,
                DUTIES,
                STANDING,
                PeerMeasurements.NONE,
                false);
    }

    @Test
    public void should_continue_when_a_datagram_is_not_a_report() throws Exception {
        BlockingQueue<PeerReport> received = new LinkedBlockingQueue<>();
        PeerExchange exchange = exchange("one", received);
        byte[] garbage = "no report".getBytes(StandardCharsets.UTF_8);
        byte[] report = PeerReportCodec.serialise(TestReports.of("two", SHARES));
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(garbage, garbage.length, exchange.address()));
            socket.send(new DatagramPacket(report, report.length, exchange.address()));
        }

        assertEquals(received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS).entry(), "two");
    }

    @Test
    public void should_send_all_counts_of_many_organisations_in_several_datagrams() throws Exception {
        BlockingQueue<EntryUsage> usages = new LinkedBlockingQueue<>();
        PeerExchange collector = exchange("collector", new LinkedBlockingQueue<>(), usages);
        PeerExchange sender = exchange("sender", new LinkedBlockingQueue<>());
        Map<String, Long> counts = IntStream.range(0, 150)
                .boxed()
                .collect(Collectors.toMap(number -> "organisation-" + number, number -> (long) number + 1));
        group.next()
                .submit(() -> {
                    sender.replacePeers(Map.of("collector", collector.address()));
                    sender.sendUsage(List.of(new EntryUsage("sender", 5, 70, true, counts)), List.of("collector", "x"));
                })
                .sync();

        UsageLedger ledger = new UsageLedger();
        while (ledger.totals(70).size() < counts.size()) {
            ledger.add(usages.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        }

        assertEquals(ledger.totals(70), counts);
        assertTrue(ledger.complete(70, List.of("sender")));
    }

    private PeerExchange exchange(String entry, BlockingQueue<PeerReport> received) throws Exception {
        return exchange(entry, received, new LinkedBlockingQueue<>());
    }

    private PeerExchange exchange(String entry, BlockingQueue<PeerReport> received, BlockingQueue<EntryUsage> usages)
            throws Exception {
        PeerExchange exchange = new PeerExchange(
                entry, new SystemTimeSource(), group.next(), log, new QueueingListener(received, usages));
        exchange.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return exchange;
    }

    private record QueueingListener(BlockingQueue<PeerReport> reports, BlockingQueue<EntryUsage> usages)
            implements PeerListener {
        @Override
        public void reportReceived(PeerReport report) {
            reports.add(report);
        }

        @Override
        public void loadChangesReceived(LoadChanges changes) {
            throw new AssertionError("nobody announces changes of its load");
        }

        @Override
        public void usageReceived(EntryUsage usage) {
            usages.add(usage);
        }

        @Override
        public void streamsTold(List<KnownStream> streams, boolean record) {
            throw new AssertionError("nobody tells of streams");
        }

        @Override
        public OriginReply originAsked(OriginQuestion question) {
            throw new AssertionError("nobody asks for streams");
        }

        @Override
        public void originReplied(OriginReply reply) {
            throw new AssertionError("nobody was asked");
        }
    }
}
