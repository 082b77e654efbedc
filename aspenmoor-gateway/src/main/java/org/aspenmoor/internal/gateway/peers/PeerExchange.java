package org.aspenmoor.internal.gateway.peers;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.caller.ListeningPort;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.EventLength;
import org.aspenmoor.internal.serving.LearntSpeed;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PeerShare;
import org.aspenmoor.internal.serving.PlacedPrompt;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Tells the other entries this entry's part of the load, and hears theirs. Confined to the event loop.
 *
 * <p>Datagrams, since a report that was lost or is late is replaced by the next one; nothing waits for it.
 */
public final class PeerExchange {
    /** Pause between reports among few entries; an engine takes about as long over one long prompt. */
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(100);

    /** Added to the pause for each peer, so that what one entry sends and hears a second stays bounded. */
    private static final Duration PAUSE_FOR_EACH_PEER = Duration.ofMillis(10);

    private final String entry;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final Consumer<PeerReport> listener;
    private final Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    private final long start;
    private Channel channel;
    private long sequence;
    private boolean quiet;

    public PeerExchange(
            String entry, TimeSource time, EventLoop eventLoop, DecisionLog log, Consumer<PeerReport> listener) {
        this.entry = entry;
        this.eventLoop = eventLoop;
        this.log = log;
        this.listener = listener;
        this.start = time.wallClockTime().toEpochMilli();
    }

    /** Opens the port. */
    public void open(InetSocketAddress address) throws AspenmoorException {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .handler(new ReportHandler());
        channel = ListeningPort.open(bootstrap, address, "The port for other entries");
    }

    /** Returns the address that the port got. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Takes the other entries' addresses in. */
    public void know(Map<String, InetSocketAddress> addresses) {
        peers.clear();
        peers.putAll(addresses);
        peers.remove(entry);
    }

    /** Returns how long to wait before the next report. */
    public Duration pause() {
        Duration scaled = PAUSE_FOR_EACH_PEER.multipliedBy(peers.size());
        return scaled.compareTo(SHORTEST_PAUSE) > 0 ? scaled : SHORTEST_PAUSE;
    }

    /** Sends a report to all others. */
    public void tell(
            Map<String, PeerShare> shares,
            List<PlacedPrompt> prompts,
            List<LearntSpeed> speeds,
            List<EventLength> lengths,
            List<RoleChange> changes,
            List<ServerEnd> ends,
            boolean leaving) {
        sequence++;
        byte[] datagram = PeerCodec.write(
                new PeerReport(entry, start, sequence, shares, prompts, speeds, lengths, changes, ends, leaving));
        for (InetSocketAddress peer : peers.values()) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peer));
        }
        channel.flush();
    }

    private void took(String reason) {
        if (!quiet) {
            quiet = true;
            log.notable("peer-report-unreadable").with("reason", reason).write();
            eventLoop.schedule(() -> quiet = false, 1, TimeUnit.SECONDS);
        }
    }

    private final class ReportHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Optional<PeerReport> report = PeerCodec.read(ByteBufUtil.getBytes(packet.content()));
            if (report.isEmpty()) {
                took("a datagram from " + packet.sender() + " is no report");
                return;
            }
            String sender = report.get().entry();
            if (sender.equals(entry)) {
                return;
            }
            // An entry that has just started tells those it found; so they learn of it before they list again.
            peers.putIfAbsent(sender, packet.sender());
            listener.accept(report.get());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            took(String.valueOf(cause.getMessage()));
        }
    }
}
