package org.aspenmoor.internal.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.caller.ListeningPort;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.LoadChange;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.ReportInterval;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/**
 * Reports this entry's part of the load to the other entries and receives their reports. Confined to the event
 * loop.
 *
 * <p>Uses datagrams, since a lost or late report is superseded by the next one and nothing waits for it.
 */
public final class PeerExchange {
    /** With fewer peers, reports are sent nearly as often as an engine computes a long prompt. */
    private static final int MIN_PEERS_FOR_ANNOUNCEMENTS = 20;

    /** With more peers, an entry would spend more time on announcements than on its own requests. */
    private static final int MAX_PEERS_FOR_ANNOUNCEMENTS = 100;

    private final String entry;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final PeerListener listener;
    private final Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    private final long startedAtMillis;
    private Channel channel;
    private long sequence;
    private boolean logSuppressed;
    private long announcementsSent;
    private long announcementsReceived;

    public PeerExchange(String entry, TimeSource time, EventLoop eventLoop, DecisionLog log, PeerListener listener) {
        this.entry = entry;
        this.eventLoop = eventLoop;
        this.log = log;
        this.listener = listener;
        this.startedAtMillis = time.wallClockTime().toEpochMilli();
    }

    /** Opens the port. */
    public void open(InetSocketAddress address) throws AspenmoorException {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .handler(new ReportHandler());
        channel = ListeningPort.open(bootstrap, address, "The port for other entries");
    }

    /** Returns the local address of the port. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Replaces the addresses of the other entries. */
    public void replacePeers(Map<String, InetSocketAddress> addresses) {
        peers.clear();
        peers.putAll(addresses);
        peers.remove(entry);
    }

    /** Returns the interval before the next report. */
    public Duration reportInterval() {
        return ReportInterval.of(peers.size());
    }

    /** Sends the next report of this entry to all other entries. */
    public void sendReport(ReportSource source) {
        if (channel == null) {
            // The servers may be known before the port is open; until then no other entry is.
            return;
        }
        sequence++;
        byte[] datagram = PeerReportCodec.serialise(source.createReport(entry, startedAtMillis, sequence));
        for (InetSocketAddress peer : peers.values()) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peer));
        }
        channel.flush();
    }

    /**
     * Returns whether reports follow each other at so long an interval that changes of the load are worth announcing in
     * between, and whether there are so few peers that each of them can process all announcements.
     */
    public boolean announcesLoadChanges() {
        return peers.size() >= MIN_PEERS_FOR_ANNOUNCEMENTS && peers.size() <= MAX_PEERS_FOR_ANNOUNCEMENTS;
    }

    /** Returns how many announcements of load changes were sent, each to all peers. */
    public long announcementsSent() {
        return announcementsSent;
    }

    /** Returns how many announcements of load changes were received from peers. */
    public long announcementsReceived() {
        return announcementsReceived;
    }

    /** Announces changes of this entry's load since its last report to all other entries. */
    public void announceLoadChanges(List<LoadChange> changes) {
        announcementsSent++;
        byte[] datagram = LoadChangesCodec.serialise(new LoadChanges(entry, startedAtMillis, sequence, changes));
        for (InetSocketAddress peer : peers.values()) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peer));
        }
        channel.flush();
    }

    /** Sends the counts of this entry to some of the other entries. */
    public void sendUsage(List<EntryUsage> usages, Collection<String> receivers) {
        for (byte[] datagram : UsageCodec.serialise(usages)) {
            receivers.forEach(receiver -> write(receiver, datagram));
        }
        channel.flush();
    }

    /** Returns the names of the other entries whose addresses are known. */
    List<String> registeredEntries() {
        return List.copyOf(peers.keySet());
    }

    /** Tells another entry which software versions began streams. */
    void sendStreams(String receiver, List<KnownStream> streams, boolean record) {
        write(receiver, OriginCodec.serialiseStreams(streams, record));
        channel.flush();
    }

    /** Asks another entry which software version began a stream. */
    void sendQuestion(String receiver, OriginQuestion question) {
        write(receiver, OriginCodec.serialiseQuestion(entry, question));
        channel.flush();
    }

    private void write(String receiver, byte[] datagram) {
        InetSocketAddress address = peers.get(receiver);
        if (address != null) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address));
        }
    }

    private void logUnreadable(String reason) {
        if (!logSuppressed) {
            logSuppressed = true;
            log.notable("peer-report-unreadable").with("reason", reason).write();
            eventLoop.schedule(() -> logSuppressed = false, 1, TimeUnit.SECONDS);
        }
    }

    private final class ReportHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet)
                throws InvalidProtocolBufferException {
            PeerLoad message = PeerLoad.parseFrom(ByteBufUtil.getBytes(packet.content()));
            List<EntryUsage> usages = UsageCodec.parse(message);
            if (!usages.isEmpty()) {
                usages.forEach(listener::usageReceived);
                return;
            }
            Optional<LoadChanges> changes = LoadChangesCodec.parse(message);
            if (changes.isPresent()) {
                announcementsReceived++;
                listener.loadChangesReceived(changes.get());
                return;
            }
            if (receiveOriginMessage(message, packet.sender())) {
                return;
            }
            Optional<PeerReport> report = PeerReportCodec.parse(message);
            if (report.isEmpty()) {
                logUnreadable("a datagram from " + packet.sender() + " is not a report");
                return;
            }
            String sender = report.get().entry();
            if (sender.equals(entry)) {
                return;
            }
            // An entry that has just started reports to the entries it found, so they learn of it before their next
            // listing.
            peers.putIfAbsent(sender, packet.sender());
            listener.reportReceived(report.get());
        }

        /** Handles a message about the origin of streams; returns whether it is one. */
        private boolean receiveOriginMessage(PeerLoad message, InetSocketAddress sender) {
            List<KnownStream> streams = OriginCodec.parseStreams(message);
            if (!streams.isEmpty()) {
                listener.streamsTold(streams, message.getRecordStreams());
            }
            Optional<OriginQuestion> question = OriginCodec.parseQuestion(message);
            question.ifPresent(asked -> {
                byte[] reply = OriginCodec.serialiseReply(listener.originAsked(asked), asked.stream());
                channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(reply), sender));
            });
            Optional<OriginReply> reply = OriginCodec.parseReply(message);
            reply.ifPresent(listener::originReplied);
            return !streams.isEmpty() || question.isPresent() || reply.isPresent();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            logUnreadable(String.valueOf(cause.getMessage()));
        }
    }
}
