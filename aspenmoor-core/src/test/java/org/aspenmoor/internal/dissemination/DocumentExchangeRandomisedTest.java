package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DocumentExchangeRandomisedTest {
    private static final int ENTRIES_PER_DATA_CENTRE = 7;
    private static final int DOCUMENTS = 40;
    private static final int FAULTY_STEPS = 3000;
    private static final int MAX_IN_FLIGHT = 2000;
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration FAULT_FREE_TIME = Duration.ofSeconds(30);

    private final DisseminationTree tree = new DisseminationTree(new RelaySelector(2), 2);

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][1];
        for (int index = 0; index < seeds.length; index++) {
            seeds[index][0] = 1000L + index;
        }
        return seeds;
    }

    // Messages between entries are lost, duplicated and reordered, watches skip events and replay old ones, and
    // processes are replaced at any time. No process may return to an old document or fail to receive the newest one.
    @Test(dataProvider = "seeds")
    public void should_never_revert_and_should_converge_when_faults_stop(long seed) {
        Run run = new Run(seed);
        for (int step = 0; step < FAULTY_STEPS; step++) {
            run.faultyStep();
        }
        run.faultFreeSteps((int) FAULT_FREE_TIME.dividedBy(STEP));
        run.assertConverged();
    }

    private final class Run {
        private final Random random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final List<EntryMember> members = new ArrayList<>();
        private final Map<String, DocumentExchange> exchanges = new TreeMap<>();
        private final Map<String, Map<DocumentKey, Long>> inForce = new HashMap<>();
        private final List<MessageInFlight> messagesInFlight = new ArrayList<>();
        private final long[] accepted = new long[DOCUMENTS];

        Run(long seed) {
            random = new Random(seed);
            for (String dataCentre : List.of("almaty-1", "almaty-2", "lima-1")) {
                for (int index = 0; index < ENTRIES_PER_DATA_CENTRE; index++) {
                    members.add(new EntryMember(dataCentre + "-" + index, dataCentre));
                }
            }
            members.forEach(this::start);
        }

        void faultyStep() {
            time.advance(STEP);
            if (random.nextInt(8) == 0) {
                accept();
            }
            if (random.nextInt(200) == 0) {
                start(members.get(random.nextInt(members.size())));
            }
            for (int delivery = random.nextInt(40); delivery > 0 && !messagesInFlight.isEmpty(); delivery--) {
                deliverWithFaults();
            }
            tickAll();
        }

        void faultFreeSteps(int steps) {
            for (int step = 0; step < steps; step++) {
                time.advance(STEP);
                for (int waiting = messagesInFlight.size(); waiting > 0; waiting--) {
                    deliver(messagesInFlight.removeFirst());
                }
                tickAll();
            }
        }

        void assertConverged() {
            assertEquals(exchanges.get(members.getFirst().process()).table().size(), DOCUMENTS);
            long root = exchanges.get(members.getFirst().process()).table().rootHash();
            for (Map.Entry<String, DocumentExchange> exchange : exchanges.entrySet()) {
                assertEquals(exchange.getValue().table().rootHash(), root, exchange.getKey());
            }
        }

        /** Accepts a change; the watch of each relay delivers this revision, an older one, or nothing. */
        private void accept() {
            int index = random.nextInt(DOCUMENTS);
            accepted[index]++;
            for (EntryMember member : members) {
                boolean relay =
                        tree.neighboursOfEntry(member, members, List.of()).relay();
                if (relay && random.nextInt(3) > 0) {
                    long revision = 1 + random.nextLong(accepted[index]);
                    DocumentRevision document = document(index, random.nextBoolean() ? accepted[index] : revision);
                    StoreUpdateSource arrival =
                            random.nextInt(4) == 0 ? StoreUpdateSource.LISTING : StoreUpdateSource.WATCH_EVENT;
                    send(member.process(), exchanges.get(member.process()).receivedFromStore(document, arrival));
                }
            }
        }

        private void deliverWithFaults() {
            MessageInFlight message = messagesInFlight.get(random.nextInt(messagesInFlight.size()));
            int roll = random.nextInt(10);
            if (roll > 0) {
                messagesInFlight.remove(message);
            }
            if (roll < 8) {
                deliver(message);
            }
        }

        private void deliver(MessageInFlight message) {
            String peer = message.outgoing().peer();
            send(
                    peer,
                    exchanges
                            .get(peer)
                            .received(message.from(), message.outgoing().message()));
        }

        private void tickAll() {
            exchanges.forEach((process, exchange) -> send(process, exchange.tick()));
            assertTrue(messagesInFlight.size() < MAX_IN_FLIGHT, "messages in flight: " + messagesInFlight.size());
        }

        private void send(String from, List<AddressedMessage> outgoing) {
            outgoing.forEach(message -> messagesInFlight.add(new MessageInFlight(from, message)));
        }

        private void start(EntryMember member) {
            inForce.remove(member.process());
            DocumentExchange exchange = new DocumentExchange(
                    ExchangeSettings.defaults(),
                    time,
                    new Random(random.nextLong()),
                    document -> assertNewer(member.process(), document));
            exchange.neighboursChanged(tree.neighboursOfEntry(member, members, List.of()));
            exchanges.put(member.process(), exchange);
        }

        private void assertNewer(String process, DocumentRevision document) {
            Long before =
                    inForce.computeIfAbsent(process, name -> new HashMap<>()).put(document.key(), document.revision());
            assertTrue(before == null || before < document.revision(), process + " reverted to " + document);
        }

        private DocumentRevision document(int index, long revision) {
            return new DocumentRevision(
                    new DocumentKey("team-" + index, "drafting"), revision, "{\"r\":" + revision + "}");
        }
    }

    private record MessageInFlight(String from, AddressedMessage outgoing) {}
}
