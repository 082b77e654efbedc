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

/** Exchanges of several processes joined by queues in memory; asserts that no process ever goes back a revision. */
final class ExchangeFleet {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final int RELAYS = 2;
    private static final int FORWARDERS = 2;

    private final ManualTimeSource time = new ManualTimeSource();
    private final List<EntryMember> members = new ArrayList<>();
    private final Map<String, DocumentExchange> exchanges = new LinkedHashMap<>();
    private final Map<String, Map<DocumentKey, Long>> inForce = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private final Deque<Flight> flights = new ArrayDeque<>();
    private final RelayChoice relayChoice = new RelayChoice(RELAYS);
    private final DisseminationTree tree = new DisseminationTree(relayChoice, FORWARDERS);
    private int delivered;

    ExchangeFleet(String dataCentre, int entries) {
        addDataCentre(dataCentre, entries);
    }

    void addDataCentre(String dataCentre, int entries) {
        for (int index = 0; index < entries; index++) {
            members.add(new EntryMember(dataCentre + "-entry-" + index, dataCentre));
        }
        members.forEach(member -> exchanges.computeIfAbsent(member.process(), this::start));
        giveNeighbours();
    }

    /** Replaces a process by a fresh one that knows nothing. */
    void restart(String process) {
        inForce.remove(process);
        exchanges.put(process, start(process));
        giveNeighbours();
    }

    /** Ends a process; the others notice in their view. */
    void kill(String process) {
        members.removeIf(member -> member.process().equals(process));
        exchanges.remove(process);
        giveNeighbours();
    }

    void cutOff(String process) {
        cutOff.add(process);
    }

    void heal(String process) {
        cutOff.remove(process);
    }

    List<String> relays(String dataCentre) {
        return relayChoice.relays(dataCentre, members);
    }

    String leaf(String dataCentre) {
        return relayChoice.rank(dataCentre, members).getLast();
    }

    List<String> processes() {
        return List.copyOf(exchanges.keySet());
    }

    DocumentExchange at(String process) {
        return exchanges.get(process);
    }

    void watchEvent(String relay, KnownDocument document) {
        send(relay, at(relay).learnedFromStore(document, Arrival.WATCH_EVENT));
        deliverAll();
    }

    void listing(String relay, List<KnownDocument> documents) {
        at(relay).watchBegins();
        documents.forEach(document -> send(relay, at(relay).learnedFromStore(document, Arrival.LISTING)));
        deliverAll();
    }

    void receive(String process, String sender, DisseminationMessage message) {
        send(process, at(process).received(sender, message));
        deliverAll();
    }

    /** Moves the clock and lets every process do what is due. */
    void run(Duration span) {
        for (long ticks = span.dividedBy(TICK); ticks > 0; ticks--) {
            time.advance(TICK);
            processes().forEach(process -> send(process, at(process).tick()));
            deliverAll();
        }
    }

    /** Returns whom a process compares with while nobody answers it. */
    List<String> peersAsked(String process, Duration span) {
        List<String> peers = new ArrayList<>();
        for (long ticks = span.dividedBy(TICK); ticks > 0; ticks--) {
            at(process).tick().forEach(message -> peers.add(message.peer()));
            time.advance(TICK);
        }
        return peers;
    }

    long revisionAt(String process, DocumentKey key) {
        return at(process).find(key).map(KnownDocument::revision).orElse(0L);
    }

    boolean everyoneHas(DocumentKey key, long revision) {
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
                document -> note(process, document));
    }

    private void note(String process, KnownDocument document) {
        Long before =
                inForce.computeIfAbsent(process, name -> new HashMap<>()).put(document.key(), document.revision());
        assertTrue(before == null || before <= document.revision(), process + " went back to " + document);
    }

    private void giveNeighbours() {
        members.forEach(member -> at(member.process()).neighboursChanged(tree.ofEntry(member, members, List.of())));
    }

    private void send(String from, List<Outgoing> outgoing) {
        outgoing.forEach(message -> flights.add(new Flight(from, message)));
    }

    private void deliverAll() {
        while (!flights.isEmpty()) {
            Flight flight = flights.remove();
            String to = flight.outgoing().peer();
            if (cutOff.contains(flight.from()) || cutOff.contains(to) || !exchanges.containsKey(to)) {
                continue;
            }
            delivered++;
            send(to, at(to).received(flight.from(), flight.outgoing().message()));
        }
    }

    private record Flight(String from, Outgoing outgoing) {}
}
