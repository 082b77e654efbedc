package org.aspenmoor.internal.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginNetwork;
import org.aspenmoor.internal.serving.origin.OriginQuestion;

/** Sends what is told and asked about streams as datagrams to the other entries. Confined to the event loop. */
public final class PeerOriginNetwork implements OriginNetwork {
    private final PeerExchange exchange;
    private final Supplier<List<String>> activeEntries;
    private final Runnable reportNow;
    private final EventLoop eventLoop;

    /**
     * Creates an instance.
     *
     * @param activeEntries supplies the names of the other entries from which reports are received
     * @param reportNow sends a report, which contains the known software versions, to all other entries
     */
    public PeerOriginNetwork(
            PeerExchange exchange, Supplier<List<String>> activeEntries, Runnable reportNow, EventLoop eventLoop) {
        this.exchange = exchange;
        this.activeEntries = activeEntries;
        this.reportNow = reportNow;
        this.eventLoop = eventLoop;
    }

    @Override
    public List<String> activeEntries() {
        return activeEntries.get();
    }

    @Override
    public List<String> registeredEntries() {
        return exchange.registeredEntries();
    }

    @Override
    public void tell(String entry, List<KnownStream> streams) {
        exchange.sendStreams(entry, streams);
    }

    @Override
    public void ask(String entry, OriginQuestion question) {
        exchange.sendQuestion(entry, question);
    }

    @Override
    public void announceVersions() {
        reportNow.run();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        eventLoop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
