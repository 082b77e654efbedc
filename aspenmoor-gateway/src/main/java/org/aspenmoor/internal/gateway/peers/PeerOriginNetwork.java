package org.aspenmoor.internal.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginNetwork;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/**
 * Sends what is told and asked about streams as datagrams to the other entries, and has written what this entry states in
 * the store. Confined to the event loop.
 */
public final class PeerOriginNetwork implements OriginNetwork {
    private final String ownEntry;
    private final PeerExchange exchange;
    private final OriginStatements statements;
    private final StreamRecordRequests records;
    private final Supplier<List<String>> activeEntries;
    private final Runnable reportNow;
    private final EventLoop eventLoop;

    /**
     * Creates an instance.
     *
     * @param ownEntry the name of this entry
     * @param statements takes what this entry is to state in the store
     * @param records takes the streams that this entry is to write to the store
     * @param activeEntries supplies the names of the other entries from which reports are received
     * @param reportNow sends a report, which contains the known software versions, to all other entries
     */
    public PeerOriginNetwork(
            String ownEntry,
            PeerExchange exchange,
            OriginStatements statements,
            StreamRecordRequests records,
            Supplier<List<String>> activeEntries,
            Runnable reportNow,
            EventLoop eventLoop) {
        this.ownEntry = ownEntry;
        this.exchange = exchange;
        this.statements = statements;
        this.records = records;
        this.activeEntries = activeEntries;
        this.reportNow = reportNow;
        this.eventLoop = eventLoop;
    }

    @Override
    public String ownEntry() {
        return ownEntry;
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
    public void tell(String entry, List<KnownStream> streams, boolean record) {
        exchange.sendStreams(entry, streams, record);
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
    public void writeStatement(Set<StreamOrigin> origins) {
        statements.write(origins);
    }

    @Override
    public void listStatements() {
        statements.list();
    }

    @Override
    public void record(List<KnownStream> streams) {
        records.write(streams);
    }

    @Override
    public void loadRecords() {
        records.load();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        eventLoop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
