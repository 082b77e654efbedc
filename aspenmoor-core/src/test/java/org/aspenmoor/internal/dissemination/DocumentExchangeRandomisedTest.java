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
    private static final int MOST_IN_FLIGHT = 2000;
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration QUIET = Duration.ofSeconds(30);

    private final DisseminationTree tree = new DisseminationTree(new RelayChoice(2), 2);

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][1];
        for (int index = 0; index < seeds.length; index++) {
            seeds[index][0] = 1000L + index;
        }
        return seeds;
    }

    // Frames between entries are lost, doubled and overtaken, watches skip events and replay old ones, and processes
    // are
    // replaced at any moment. A caller would notice a process that goes back to an old document, or never gets the new.
    @Test(dataProvider = "seeds")
    public void should_never_revert_and_should_converge_once_messages_arrive_again(long seed) {
        Run run = new Run(seed);
        for (int step = 0; step < FAULTY_STEPS; step++) {
            run.faultyStep();
        }
        run.quietSteps((int) QUIET.dividedBy(STEP));
        run.assertConverged();
    }

    private final class Run {
        private final Random random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final List<EntryMember> members = new ArrayList<>();
        private final Map<String, DocumentExchange> exchanges = new TreeMap<>();
        private final Map<String, Map<DocumentKey, Long>> inForce = new HashMap<>();
        private final List<Flight> flights = new ArrayList<>();
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
            for (int delivery = random.nextInt(40); delivery > 0 && !flights.isEmpty(); delivery--) {
                deliverFaultily();
            }
            tickAll();
        }

        void quietSteps(int steps) {
            for (int step = 0; step < steps; step++) {
                time.advance(STEP);
                for (int waiting = flights.size(); waiting > 0; waiting--) {
                    deliver(flights.removeFirst());
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

        /** A change is accepted; each relay's watch shows it, an older one, or nothing. */
        private void accept() {
            int index = random.nextInt(DOCUMENTS);
            accepted[index]++;
            for (EntryMember member : members) {
                boolean relay = tree.ofEntry(member, members, List.of()).relay();
                if (relay && random.nextInt(3) > 0) {
                    long revision = 1 + random.nextLong(accepted[index]);
                    KnownDocument document = document(index, random.nextBoolean() ? accepted[index] : revision);
                    Arrival arrival = random.nextInt(4) == 0 ? Arrival.LISTING : Arrival.WATCH_EVENT;
                    send(member.process(), exchanges.get(member.process()).learnedFromStore(document, arrival));
                }
            }
        }

        private void deliverFaultily() {
            Flight flight = flights.get(random.nextInt(flights.size()));
            int fate = random.nextInt(10);
            if (fate > 0) {
                flights.remove(flight);
            }
            if (fate < 8) {
                deliver(flight);
            }
        }

        private void deliver(Flight flight) {
            String peer = flight.outgoing().peer();
            send(
                    peer,
                    exchanges
                            .get(peer)
                            .received(flight.from(), flight.outgoing().message()));
        }

        private void tickAll() {
            exchanges.forEach((process, exchange) -> send(process, exchange.tick()));
            assertTrue(flights.size() < MOST_IN_FLIGHT, "messages in flight: " + flights.size());
        }

        private void send(String from, List<Outgoing> outgoing) {
            outgoing.forEach(message -> flights.add(new Flight(from, message)));
        }

        private void start(EntryMember member) {
            inForce.remove(member.process());
            DocumentExchange exchange = new DocumentExchange(
                    ExchangeSettings.defaults(),
                    time,
                    new Random(random.nextLong()),
                    document -> assertForward(member.process(), document));
            exchange.neighboursChanged(tree.ofEntry(member, members, List.of()));
            exchanges.put(member.process(), exchange);
        }

        private void assertForward(String process, KnownDocument document) {
            Long before =
                    inForce.computeIfAbsent(process, name -> new HashMap<>()).put(document.key(), document.revision());
            assertTrue(before == null || before < document.revision(), process + " went back to " + document);
        }

        private KnownDocument document(int index, long revision) {
            return new KnownDocument(
                    new DocumentKey("team-" + index, "drafting"), revision, "{\"r\":" + revision + "}");
        }
    }

    private record Flight(String from, Outgoing outgoing) {}
}
