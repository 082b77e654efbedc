package org.aspenmoor.internal.gateway.peers;

import java.util.Optional;
import org.aspenmoor.internal.serving.LoadChange;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/** Converts the changes of an entry's load between two reports to datagrams and back. */
final class LoadChangesCodec {
    private static final double MICROS_PER_SECOND = 1e6;

    private LoadChangesCodec() {}

    static byte[] serialise(LoadChanges changes) {
        PeerLoad.LoadChanges.Builder message = PeerLoad.LoadChanges.newBuilder()
                .setEntry(changes.entry())
                .setStart(changes.incarnation())
                .setSequence(changes.sequence());
        for (LoadChange change : changes.changes()) {
            message.addChanges(PeerLoad.LoadChanges.Change.newBuilder()
                    .setServer(change.server())
                    .setUnansweredMicroseconds((int) (change.unansweredSeconds() * MICROS_PER_SECOND))
                    .setRequests(change.requests()));
        }
        return PeerLoad.newBuilder().setLoadChanges(message).build().toByteArray();
    }

    /** Returns the changes in a message; empty if it has none. */
    static Optional<LoadChanges> parse(PeerLoad message) {
        if (!message.hasLoadChanges()) {
            return Optional.empty();
        }
        PeerLoad.LoadChanges changes = message.getLoadChanges();
        return Optional.of(new LoadChanges(
                changes.getEntry(),
                changes.getStart(),
                changes.getSequence(),
                changes.getChangesList().stream()
                        .map(change -> new LoadChange(
                                change.getServer(),
                                change.getUnansweredMicroseconds() / MICROS_PER_SECOND,
                                change.getRequests()))
                        .toList()));
    }
}
