package org.aspenmoor.internal.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PeerShare;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/** Turns reports into datagrams and back. */
final class PeerCodec {
    private static final double MICROSECONDS = 1e6;

    private PeerCodec() {}

    static byte[] write(PeerReport report) {
        PeerLoad.Builder message = PeerLoad.newBuilder()
                .setEntry(report.entry())
                .setStart(report.start())
                .setSequence(report.sequence())
                .setLeaving(report.leaving());
        report.shares()
                .forEach((server, share) -> message.addShares(PeerLoad.Share.newBuilder()
                        .setServer(server)
                        .setUnansweredMicroseconds((int) (share.unansweredSeconds() * MICROSECONDS))
                        .setRequests(share.requests())));
        return message.build().toByteArray();
    }

    /** Reads a datagram; empty where it is no report, since anybody may send to the port. */
    static Optional<PeerReport> read(byte[] datagram) {
        try {
            PeerLoad message = PeerLoad.parseFrom(datagram);
            if (message.getEntry().isEmpty()) {
                return Optional.empty();
            }
            Map<String, PeerShare> shares = new HashMap<>();
            for (PeerLoad.Share share : message.getSharesList()) {
                double seconds = Integer.toUnsignedLong(share.getUnansweredMicroseconds()) / MICROSECONDS;
                shares.put(share.getServer(), new PeerShare(seconds, share.getRequests()));
            }
            return Optional.of(new PeerReport(
                    message.getEntry(), message.getStart(), message.getSequence(), shares, message.getLeaving()));
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }
}
