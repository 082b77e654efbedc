package org.aspenmoor.internal.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.daemon.dissemination.DisseminationFrames;
import org.aspenmoor.internal.dissemination.AddressedMessage;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DisseminationTree;
import org.aspenmoor.internal.dissemination.DocumentExchange;
import org.aspenmoor.internal.dissemination.DocumentRevision;
import org.aspenmoor.internal.dissemination.EntryMember;
import org.aspenmoor.internal.dissemination.ExchangeSettings;
import org.aspenmoor.internal.dissemination.Neighbours;
import org.aspenmoor.internal.dissemination.RelaySelector;
import org.aspenmoor.internal.dissemination.StoreUpdateSource;
import org.aspenmoor.internal.dissemination.SubsetSelector;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.wire.v1.Frame;

/** Processor time of the document exchange and of the choices made at each change of the live view. */
final class DisseminationSlopes {
    private static final List<Integer> COMPARISONS = List.of(1000, 2000, 4000, 8000);
    private static final List<Integer> CHANGES = List.of(250, 500, 1000, 2000);
    private static final List<Integer> ENTRIES = List.of(40, 100, 200, 400);
    private static final Duration NEXT_COMPARISON = Duration.ofSeconds(6);
    private static final long SEED = 11;

    private final SlopeMeter meter;
    private long consumed;

    DisseminationSlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        meter.processor(SlopeName.APPLY_DOCUMENT, CHANGES, this::applyUpdates);
        meter.processor(SlopeName.COMPARE_EQUAL, COMPARISONS, size -> compare(size, false));
        meter.processor(SlopeName.COMPARE_ONE_CHANGE, CHANGES, size -> compare(size, true));
        meter.processor(SlopeName.VIEW_CHANGE, ENTRIES, this::neighbours);
        meter.processor(SlopeName.SUBSET_CHANGE, ENTRIES, this::subset);
    }

    private Runnable applyUpdates(int count) {
        DocumentExchange exchange = exchange(new ManualTimeSource(), Aim.TEAMS);
        List<byte[]> frames = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            frames.add(DisseminationFrames.toFrame(new DisseminationMessage.Update(Samples.knownDocument(number, 2)))
                    .toByteArray());
        }
        return () -> frames.forEach(
                frame -> consumed += exchange.received("peer", message(frame)).size());
    }

    /** Two tables of the planned size are compared again and again, with or without a change before each comparison. */
    private Runnable compare(int count, boolean withChange) {
        ManualTimeSource time = new ManualTimeSource();
        DocumentExchange asking = exchange(time, Aim.TEAMS);
        DocumentExchange answering = exchange(time, Aim.TEAMS);
        asking.neighboursChanged(new Neighbours(false, List.of(), List.of("answering")));
        List<DocumentRevision> changes = new ArrayList<>();
        for (int number = 0; withChange && number < count; number++) {
            changes.add(Samples.knownDocument(number, 2));
        }
        return () -> {
            for (int number = 0; number < count; number++) {
                if (withChange) {
                    answering.receivedFromStore(changes.get(number), StoreUpdateSource.WATCH_EVENT);
                }
                time.advance(NEXT_COMPARISON);
                converse(asking, answering);
            }
        };
    }

    private void converse(DocumentExchange asking, DocumentExchange answering) {
        Deque<AddressedMessage> flights = new ArrayDeque<>(asking.tick());
        while (!flights.isEmpty()) {
            AddressedMessage flight = flights.remove();
            byte[] bytes = DisseminationFrames.toFrame(flight.message()).toByteArray();
            consumed += bytes.length;
            boolean forAnswering = flight.peer().equals("answering");
            DocumentExchange receiver = forAnswering ? answering : asking;
            flights.addAll(receiver.received(forAnswering ? "asking" : "answering", message(bytes)));
        }
    }

    private Runnable neighbours(int count) {
        List<EntryMember> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add(new EntryMember("entry-" + number, "almaty-1"));
        }
        DisseminationTree tree =
                new DisseminationTree(new RelaySelector(DisseminationTrial.RELAYS), DisseminationTrial.FORWARDERS);
        return () -> consumed += tree.neighboursOfEntry(entries.getFirst(), entries, List.of())
                .links()
                .size();
    }

    private Runnable subset(int count) {
        List<String> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add("entry-" + number);
        }
        List<String> agents = new ArrayList<>();
        for (int number = 0; number < Aim.AGENTS_PER_GROUP; number++) {
            agents.add("agent-" + number);
        }
        SubsetSelector choice =
                new SubsetSelector(DisseminationTrial.ENTRIES_PER_AGENT, DisseminationTrial.AGENTS_PER_GROUP);
        return () ->
                consumed += choice.select(entries, agents).agentsOf("entry-0").size();
    }

    private static DocumentExchange exchange(ManualTimeSource time, int documents) {
        DocumentExchange exchange =
                new DocumentExchange(ExchangeSettings.defaults(), time, new Random(SEED), document -> {});
        for (int number = 0; number < documents; number++) {
            exchange.receivedFromStore(Samples.knownDocument(number, 1), StoreUpdateSource.LISTING);
        }
        return exchange;
    }

    private static DisseminationMessage message(byte[] bytes) {
        try {
            return DisseminationFrames.fromFrame(Frame.parseFrom(bytes)).orElseThrow();
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException(malformed);
        }
    }
}
