package org.aspenmoor.internal.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.aspenmoor.internal.daemon.dissemination.DisseminationFrames;
import org.aspenmoor.internal.dissemination.AddressedMessage;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DocumentExchange;
import org.aspenmoor.internal.dissemination.DocumentRevision;
import org.aspenmoor.internal.dissemination.ExchangeSettings;
import org.aspenmoor.internal.dissemination.Neighbours;
import org.aspenmoor.internal.dissemination.StoreUpdateSource;
import org.aspenmoor.internal.time.ManualTimeSource;

/**
 * Runs the real document exchange of every process of a fleet on a manual clock, with fixed message delays, and counts
 * the bytes of the real frames. It models no network: only delay, loss and cuts.
 */
final class DisseminationTrial {
    static final int RELAYS = 3;
    static final int FORWARDERS = 6;
    static final int ENTRIES_PER_AGENT = 3;
    static final int AGENTS_PER_GROUP = 4;
    static final int BYTES_AROUND_A_FRAME = 4 + 66;
    private static final double LOCAL_SECONDS = 0.0005;
    private static final double REGION_SECONDS = 0.002;
    private static final double DISTANT_SECONDS = 0.08;
    private static final double TICK_SECONDS = 0.25;
    private static final double BOOKMARK_SECONDS = 5;
    private static final double MOST_WATCH_DELAY = 0.2;
    private static final double NANOSECONDS = 1e9;

    private final FleetPlan plan;
    private final int documents;
    private final TrialFaults faults;
    private final Random random;
    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<String, DocumentExchange> exchanges = new LinkedHashMap<>();
    private final PriorityQueue<TrialEvent> events = new PriorityQueue<>();
    private final Map<String, ByteCounter> counters = new HashMap<>();
    private final Map<Integer, Long> accepted = new HashMap<>();
    private final Map<Integer, Integer> missing = new HashMap<>();
    private final Map<Integer, Double> acceptedAt = new HashMap<>();
    private final List<Double> secondsInForce = new ArrayList<>();
    private long order;
    private long messages;
    private double recoveredAt = -1;
    private final Map<Integer, DocumentRevision> newest = new HashMap<>();
    private final Map<DocumentRevision, Integer> updateSizes = new HashMap<>();

    DisseminationTrial(FleetPlan plan, int documents, TrialFaults faults, long seed) {
        this.plan = plan;
        this.documents = documents;
        this.faults = faults;
        this.random = new Random(seed);
        plan.neighbours().forEach((process, neighbours) -> start(process, neighbours, true));
    }

    /** Runs for so many seconds with changes at random moments, then until all processes are equal. */
    TrialResult run(double seconds, int changes) {
        double faultEnd = Math.max(faults.apartUntil(), faults.dataCentreReturns());
        for (int change = 0; change < changes; change++) {
            schedule(random.nextDouble() * (faultEnd > 0 ? faultEnd : seconds), this::acceptChange);
        }
        if (faults.apartUntil() > 0) {
            schedule(faults.apartUntil(), () -> plan.neighbours().keySet().forEach(this::relist));
        }
        if (faults.dataCentreReturns() >= 0) {
            schedule(faults.dataCentreReturns(), this::restartDataCentre);
        }
        if (faultEnd > 0) {
            schedule(faultEnd, this::checkRecovery);
        }
        while (now() < seconds && !events.isEmpty()) {
            step();
        }
        double recovery = faultEnd < 0 ? 0 : recoveredAt - faultEnd;
        return result(now(), recovery, mostInOneSecond());
    }

    private void checkRecovery() {
        if (allEqual()) {
            recoveredAt = now();
            return;
        }
        schedule(now() + TICK_SECONDS, this::checkRecovery);
    }

    private void start(String process, Neighbours neighbours, boolean filled) {
        DocumentExchange exchange =
                new DocumentExchange(ExchangeSettings.defaults(), time, new Random(random.nextLong()), this::inForce);
        exchange.neighboursChanged(neighbours);
        exchanges.put(process, exchange);
        counters.computeIfAbsent(process, name -> new ByteCounter());
        exchange.watchStarting();
        for (int number = 0; filled && number < documents; number++) {
            exchange.receivedFromStore(newest(number), StoreUpdateSource.LISTING);
        }
        schedule(now() + random.nextDouble() * TICK_SECONDS, () -> tick(process, exchange));
        if (neighbours.relay()) {
            schedule(now() + random.nextDouble() * BOOKMARK_SECONDS, () -> bookmark(process, exchange));
        }
    }

    private void tick(String process, DocumentExchange exchange) {
        if (exchanges.get(process) == exchange) {
            send(process, exchange.tick());
            schedule(now() + TICK_SECONDS, () -> tick(process, exchange));
        }
    }

    private void bookmark(String process, DocumentExchange exchange) {
        if (exchanges.get(process) == exchange) {
            if (seesStore(process)) {
                exchange.watchConfirmed();
            }
            schedule(now() + BOOKMARK_SECONDS, () -> bookmark(process, exchange));
        }
    }

    private void acceptChange() {
        int number = random.nextInt(documents);
        if (missing.getOrDefault(number, 0) > 0) {
            return;
        }
        accepted.merge(number, 2L, (revision, first) -> revision + 1);
        acceptedAt.put(number, now());
        missing.put(number, exchanges.size());
        DocumentRevision document = newest(number);
        plan.neighbours().forEach((process, neighbours) -> {
            if (neighbours.relay() && seesStore(process) && random.nextDouble() >= faults.watchLoss()) {
                schedule(now() + random.nextDouble() * MOST_WATCH_DELAY, () -> watchEvent(process, document));
            }
        });
    }

    private void watchEvent(String process, DocumentRevision document) {
        send(process, exchanges.get(process).receivedFromStore(document, StoreUpdateSource.WATCH_EVENT));
    }

    /** A relay that was cut off lists the store again within its back-off. */
    private void relist(String process) {
        if (!plan.neighbours().get(process).relay() || plan.regionOf(process) != Aim.REGIONS - 1) {
            return;
        }
        schedule(now() + random.nextDouble() * 2, () -> {
            DocumentExchange exchange = exchanges.get(process);
            exchange.watchStarting();
            for (int number = 0; number < documents; number++) {
                send(process, exchange.receivedFromStore(newest(number), StoreUpdateSource.LISTING));
            }
        });
    }

    private void restartDataCentre() {
        String lost = "dc-0";
        plan.neighbours().forEach((process, neighbours) -> {
            if (plan.dataCentreOf(process).equals(lost)) {
                start(process, neighbours, neighbours.relay());
            }
        });
    }

    private void send(String from, List<AddressedMessage> outgoing) {
        outgoing.forEach(message -> send(from, message));
    }

    private void send(String from, AddressedMessage outgoing) {
        int bytes = frameSize(outgoing.message()) + BYTES_AROUND_A_FRAME;
        counters.get(from).count(now(), bytes);
        if (isCut(from, outgoing.peer()) || random.nextDouble() < faults.messageLoss()) {
            return;
        }
        double arrival = now() + delay(from, outgoing.peer());
        schedule(arrival, () -> receive(from, outgoing.peer(), outgoing.message(), bytes));
    }

    private int frameSize(DisseminationMessage message) {
        return switch (message) {
            case DisseminationMessage.Update update ->
                updateSizes.computeIfAbsent(update.document(), document -> serializedSize(message));
            default -> serializedSize(message);
        };
    }

    private static int serializedSize(DisseminationMessage message) {
        return DisseminationFrames.toFrame(message).getSerializedSize();
    }

    private void receive(String from, String to, DisseminationMessage message, int bytes) {
        messages++;
        counters.get(to).count(now(), bytes);
        send(to, exchanges.get(to).received(from, message));
    }

    private void inForce(DocumentRevision document) {
        int number = Integer.parseInt(document.key().team().substring("team-".length()));
        if (document.revision() == 1 || document.revision() != accepted.get(number)) {
            return;
        }
        int left = missing.merge(number, -1, Integer::sum);
        if (left == 0) {
            secondsInForce.add(now() - acceptedAt.get(number));
        }
    }

    private DocumentRevision newest(int number) {
        long revision = accepted.getOrDefault(number, 1L);
        return newest.compute(
                number,
                (key, known) -> known != null && known.revision() == revision
                        ? known
                        : Samples.knownDocument(number, revision));
    }

    private boolean allEqual() {
        long root = exchanges.values().iterator().next().table().rootHash();
        return exchanges.values().stream().allMatch(exchange -> exchange.table().rootHash() == root);
    }

    private boolean seesStore(String process) {
        return !(faults.apart(now()) && plan.regionOf(process) == Aim.REGIONS - 1);
    }

    private boolean isCut(String from, String to) {
        return faults.apart(now()) && plan.regionOf(from) != plan.regionOf(to);
    }

    private double delay(String from, String to) {
        if (plan.dataCentreOf(from).equals(plan.dataCentreOf(to))) {
            return LOCAL_SECONDS;
        }
        return plan.regionOf(from) == plan.regionOf(to) ? REGION_SECONDS : DISTANT_SECONDS;
    }

    private void schedule(double at, Runnable action) {
        events.add(new TrialEvent(at, order++, action));
    }

    private void step() {
        TrialEvent event = events.remove();
        long nanoseconds = (long) (event.at() * NANOSECONDS) - time.monotonicNanos();
        if (nanoseconds > 0) {
            time.advance(Duration.ofNanos(nanoseconds));
        }
        event.action().run();
    }

    private double now() {
        return time.monotonicNanos() / NANOSECONDS;
    }

    private double mostInOneSecond() {
        return counters.values().stream()
                .mapToLong(ByteCounter::mostInOneSecond)
                .max()
                .orElse(0);
    }

    private TrialResult result(double seconds, double recovery, double mostInOneSecond) {
        double[] sorted = secondsInForce.stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        double median = sorted.length == 0 ? 0 : sorted[sorted.length / 2];
        double most = Arrays.stream(sorted).max().orElse(0);
        TrialTraffic entry = traffic(seconds, true, false);
        TrialTraffic relay = traffic(seconds, true, true);
        TrialTraffic agent = traffic(seconds, false, false);
        return new TrialResult(sorted.length, median, most, recovery, entry, relay, agent, mostInOneSecond, messages);
    }

    private TrialTraffic traffic(double seconds, boolean entries, boolean relays) {
        List<ByteCounter> chosen = plan.neighbours().entrySet().stream()
                .filter(process -> plan.isEntry(process.getKey()) == entries)
                .filter(process -> process.getValue().relay() == relays)
                .map(process -> counters.get(process.getKey()))
                .toList();
        double mean = chosen.stream().mapToLong(ByteCounter::bytes).average().orElse(0);
        long most = chosen.stream().mapToLong(ByteCounter::bytes).max().orElse(0);
        double meanMessages =
                chosen.stream().mapToLong(ByteCounter::messages).average().orElse(0);
        return new TrialTraffic(mean / seconds, most / seconds, meanMessages / seconds);
    }
}
