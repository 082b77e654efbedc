package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.time.ManualTimeSource;

/** The exchanges of several processes connected by in-memory queues; asserts that no process reverts to an old revision. */
final class ExchangeFleet {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final int RELAYS = 2;
    private static final int FORWARDERS = 2;

    private final ManualTimeSource time = new ManualTimeSource();
    private final List<EntryMember> members = new ArrayList<>();
    private final Map<String, DocumentExchange> exchanges = new LinkedHashMap<>();
    private final Map<String, Map<DocumentKey, Long>> inForce = new HashMap<>();
    private final Set<String> disconnected = new HashSet<>();
    private final Deque<MessageInFlight> messagesInFlight = new ArrayDeque<>();
    private final RelaySelector relaySelector = new RelaySelector(RELAYS);
    private final DisseminationTree tree = new DisseminationTree(relaySelector, FORWARDERS);
    private int delivered;

    ExchangeFleet(String dataCentre, int entries) {
        addDataCentre(dataCentre, entries);
    }

    void addDataCentre(String dataCentre, int entries) {
        for (int index = 0; index < entries; index++) {
            members.add(new EntryMember(dataCentre + "-entry-" + index, dataCentre));
        }
        members.forEach(member -> exchanges.computeIfAbsent(member.process(), this::start));
        updateNeighbours();
    }

    /** Replaces a process by a new one without documents. */
    void restart(String process) {
        inForce.remove(process);
        exchanges.put(process, start(process));
        updateNeighbours();
    }

    /** Terminates a process and removes it from the view of the others. */
    void kill(String process) {
        members.removeIf(member -> member.process().equals(process));
        exchanges.remove(process);
        updateNeighbours();
    }

    void disconnect(String process) {
        disconnected.add(process);
    }

    void reconnect(String process) {
        disconnected.remove(process);
    }

    List<String> relays(String dataCentre) {
        return relaySelector.relays(dataCentre, members);
    }

    String leaf(String dataCentre) {
        return relaySelector.rank(dataCentre, members).getLast();
    }

    List<String> processes() {
        return List.copyOf(exchanges.keySet());
    }

    DocumentExchange exchangeOf(String process) {
        return exchanges.get(process);
    }

    void watchEvent(String relay, DocumentRevision document) {
        send(relay, exchangeOf(relay).receivedFromStore(document, StoreUpdateSource.WATCH_EVENT));
        deliverAll();
    }

    void listing(String relay, List<DocumentRevision> documents) {
        exchangeOf(relay).watchStarting();
        documents.forEach(
                document -> send(relay, exchangeOf(relay).receivedFromStore(document, StoreUpdateSource.LISTING)));
        deliverAll();
    }

    void receive(String process, String sender, DisseminationMessage message) {
        send(process, exchangeOf(process).received(sender, message));
        deliverAll();
    }

    /** Advances the clock and lets every process run its due work. */
    void run(Duration span) {
        for (long ticks = span.dividedBy(TICK); ticks > 0; ticks--) {
            time.advance(TICK);
            processes().forEach(process -> send(process, exchangeOf(process).tick()));
            deliverAll();
        }
    }

    /** Returns the peers that a process sends messages to while it receives no answers. */
    List<String> peersCompared(String process, Duration span) {
        List<String> peers = new ArrayList<>();
        for (long ticks = span.dividedBy(TICK); ticks > 0; ticks--) {
            exchangeOf(process).tick().forEach(message -> peers.add(message.peer()));
            time.advance(TICK);
        }
        return peers;
    }

    long revisionAt(String process, DocumentKey key) {
        return exchangeOf(process).find(key).map(DocumentRevision::revision).orElse(0L);
    }

    boolean allHold(DocumentKey key, long revision) {
        return processes().stream().allMatch(process -> revisionAt(process, key) == revision);
    }

    int messagesDelivered() {
        return delivered;
    }

    private DocumentExchange start(String process) {
        return new DocumentExchange(
                ExchangeSettings.defaults(),
                time,
                new Random(StableHash.of(process)),
                document -> recordInForce(process, document));
    }

    private void recordInForce(String process, DocumentRevision document) {
        Long before =
                inForce.computeIfAbsent(process, name -> new HashMap<>()).put(document.key(), document.revision());
        assertTrue(before == null || before <= document.revision(), process + " reverted to " + document);
    }

    private void updateNeighbours() {
        members.forEach(member ->
                exchangeOf(member.process()).neighboursChanged(tree.neighboursOfEntry(member, members, List.of())));
    }

    private void send(String from, List<AddressedMessage> outgoing) {
        outgoing.forEach(message -> messagesInFlight.add(new MessageInFlight(from, message)));
    }

    private void deliverAll() {
        while (!messagesInFlight.isEmpty()) {
            MessageInFlight message = messagesInFlight.remove();
            String to = message.outgoing().peer();
            if (disconnected.contains(message.from()) || disconnected.contains(to) || !exchanges.containsKey(to)) {
                continue;
            }
            delivered++;
            send(to, exchangeOf(to).received(message.from(), message.outgoing().message()));
        }
    }

    private record MessageInFlight(String from, AddressedMessage outgoing) {}
}
