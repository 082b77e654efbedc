package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.time.TimeSource;

/**
 * One process's part in spreading documents. It answers each event with the messages to send and is used by one thread.
 *
 * <p>Documents only move forward here: everything that arrives, from the store or a peer, is offered to the same
 * {@link RevisionTable}. Who sends it and how late it comes therefore cannot matter.
 */
public final class DocumentExchange {
    private static final double LEAST_PERIOD_FACTOR = 0.75;
    private static final double PERIOD_SPREAD = 0.5;

    private final ExchangeSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final InForceListener listener;
    private final RevisionTable table = new RevisionTable();
    private final StoreAgreement storeAgreement = new StoreAgreement();
    private final AskWindow asks;

    private Neighbours neighbours = new Neighbours(false, List.of(), List.of());
    private Optional<Comparison> comparison = Optional.empty();
    private Optional<Long> confirmedAt = Optional.empty();
    private long nextComparisonAt;
    private int nextPartner;
    private boolean progressSinceComparison;

    public DocumentExchange(
            ExchangeSettings settings, TimeSource time, RandomGenerator random, InForceListener listener) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.listener = listener;
        this.asks = new AskWindow(settings);
        this.nextComparisonAt = time.monotonicNanos();
        this.nextPartner = random.nextInt(Short.MAX_VALUE);
    }

    /** Takes over a new set of neighbours after a change of the live view. */
    public void neighboursChanged(Neighbours changed) {
        if (!changed.relay()) {
            storeAgreement.end();
        }
        neighbours = changed;
    }

    /** Notes that a listing followed by a watch is about to begin, at the start or after a gap. */
    public void watchBegins() {
        storeAgreement.begin(table.keys());
    }

    /** Takes what the store told this relay. */
    public List<Outgoing> learnedFromStore(KnownDocument document, Arrival arrival) {
        boolean knownBefore = table.find(document.key()).isPresent();
        boolean taken = take(document);
        storeAgreement.learnedFromStore(document.key(), !isBehindTable(document));
        // A first listing would otherwise send thousands of documents down the tree to processes that have them.
        boolean forward = taken && (arrival == Arrival.WATCH_EVENT || knownBefore);
        return forward ? pushExcept(document, Optional.empty()) : List.of();
    }

    /** Notes that the watch has just shown that it missed nothing so far. */
    public void storeConfirmed() {
        if (storeAgreement.holds()) {
            confirmedAt = Optional.of(time.monotonicNanos());
        }
    }

    /** Takes a message of a peer. */
    public List<Outgoing> received(String peer, DisseminationMessage message) {
        return switch (message) {
            case DisseminationMessage.Update update -> receivedUpdate(peer, update.document());
            case DisseminationMessage.Ask ask -> receivedAsk(peer, ask);
            case DisseminationMessage.Compare compare -> receivedCompare(peer, compare);
            case DisseminationMessage.Equal equal -> receivedEqual(equal);
            case DisseminationMessage.Differs differs -> receivedDiffers(peer, differs);
            case DisseminationMessage.BucketLines bucketLines -> receivedBucketLines(peer, bucketLines);
            case DisseminationMessage.NewerLines newerLines -> wantNewer(peer, newerLines.lines());
        };
    }

    /** Takes the word of a process on the data path that it knows a newer revision. */
    public List<Outgoing> hinted(String peer, DocumentKey key, long revision) {
        long known = table.find(key).map(KnownDocument::revision).orElse(0L);
        if (revision > known) {
            asks.want(key, peer);
        }
        return takeAsks();
    }

    /** Does what is due by now; to be called a few times a second. */
    public List<Outgoing> tick() {
        long now = time.monotonicNanos();
        asks.expire(now);
        List<Outgoing> outgoing = new ArrayList<>(takeAsks());
        long answerTimeout = settings.answerTimeout().toNanos();
        boolean unanswered = comparison
                .filter(asked -> now - asked.askedAt() >= answerTimeout)
                .isPresent();
        if (unanswered) {
            comparison = Optional.empty();
        }
        if (unanswered || (comparison.isEmpty() && now - nextComparisonAt >= 0)) {
            nextPartner().ifPresent(peer -> outgoing.add(compareWith(peer)));
        }
        return outgoing;
    }

    /** Returns the newest known revision of a document. */
    public Optional<KnownDocument> find(DocumentKey key) {
        return table.find(key);
    }

    /** Returns the documents known, for the state dump and for comparisons in tests. */
    public RevisionTable table() {
        return table;
    }

    /** Returns how long ago this process was last known to hold every accepted document; empty for never. */
    public Optional<Duration> confirmedAge() {
        return confirmedAt.map(moment -> Duration.ofNanos(time.monotonicNanos() - moment));
    }

    /** Returns how many documents wait to be fetched; bounded by the settings. */
    public int documentsWanted() {
        return asks.size();
    }

    private List<Outgoing> receivedUpdate(String peer, KnownDocument document) {
        boolean asked = asks.answered(document.key());
        boolean refill = asked && table.find(document.key()).isEmpty();
        List<Outgoing> outgoing = new ArrayList<>();
        if (take(document)) {
            storeAgreement.learnedFromPeer(document.key());
            progressSinceComparison = true;
            if (!refill) {
                outgoing.addAll(pushExcept(document, Optional.of(peer)));
            }
        } else if (isBehindTable(document)) {
            table.find(document.key())
                    .ifPresent(newer -> outgoing.add(new Outgoing(peer, new DisseminationMessage.Update(newer))));
        }
        outgoing.addAll(takeAsks());
        if (asked && asks.isIdle() && progressSinceComparison && comparison.isEmpty()) {
            outgoing.add(compareWith(peer));
        }
        return outgoing;
    }

    private List<Outgoing> receivedAsk(String peer, DisseminationMessage.Ask ask) {
        return table.find(ask.key())
                .filter(known -> known.revision() >= ask.revision())
                .map(known -> List.of(new Outgoing(peer, new DisseminationMessage.Update(known))))
                .orElse(List.of());
    }

    private List<Outgoing> receivedCompare(String peer, DisseminationMessage.Compare compare) {
        DisseminationMessage answer = compare.rootHash() == table.rootHash()
                ? new DisseminationMessage.Equal(compare.number(), confirmedAge())
                : new DisseminationMessage.Differs(compare.number(), table.bucketHashes());
        return List.of(new Outgoing(peer, answer));
    }

    private List<Outgoing> receivedEqual(DisseminationMessage.Equal equal) {
        Optional<Comparison> asked = answeredComparison(equal.number());
        if (asked.isPresent() && equal.confirmedAge().isPresent()) {
            // The peer answered after the question left, so counting from then never makes the table look too fresh.
            long moment = asked.get().askedAt() - equal.confirmedAge().get().toNanos();
            confirmedAt = Optional.of(
                    confirmedAt.map(known -> Math.max(known, moment)).orElse(moment));
        }
        return List.of();
    }

    private List<Outgoing> receivedDiffers(String peer, DisseminationMessage.Differs differs) {
        if (answeredComparison(differs.number()).isEmpty()
                || differs.bucketHashes().size() != RevisionTable.BUCKETS) {
            return List.of();
        }
        List<Integer> buckets = someDifferingBuckets(differs.bucketHashes());
        List<RevisionLine> lines = new ArrayList<>();
        buckets.forEach(bucket -> lines.addAll(table.lines(bucket)));
        return buckets.isEmpty()
                ? List.of()
                : List.of(new Outgoing(peer, new DisseminationMessage.BucketLines(buckets, lines)));
    }

    private List<Integer> someDifferingBuckets(List<Long> peerHashes) {
        List<Long> hashes = table.bucketHashes();
        List<Integer> differing = new ArrayList<>();
        int start = random.nextInt(RevisionTable.BUCKETS);
        for (int step = 0; step < RevisionTable.BUCKETS; step++) {
            int bucket = (start + step) % RevisionTable.BUCKETS;
            if (!hashes.get(bucket).equals(peerHashes.get(bucket)) && differing.size() < settings.mostBucketsAtOnce()) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    private List<Outgoing> receivedBucketLines(String peer, DisseminationMessage.BucketLines theirs) {
        Set<DocumentKey> named = new TreeSet<>(DocumentKey.ORDER);
        Set<DocumentKey> behind = new TreeSet<>(DocumentKey.ORDER);
        for (RevisionLine line : theirs.lines()) {
            named.add(line.key());
            table.findLine(line.key()).filter(own -> own.isNewerThan(line)).ifPresent(own -> behind.add(line.key()));
        }
        List<RevisionLine> newer = theirs.buckets().stream()
                .filter(bucket -> bucket >= 0 && bucket < RevisionTable.BUCKETS)
                .flatMap(bucket -> table.lines(bucket).stream())
                .filter(own -> behind.contains(own.key()) || !named.contains(own.key()))
                .toList();
        List<Outgoing> outgoing = new ArrayList<>(wantNewer(peer, theirs.lines()));
        if (!newer.isEmpty()) {
            outgoing.add(new Outgoing(peer, new DisseminationMessage.NewerLines(newer)));
        }
        return outgoing;
    }

    private List<Outgoing> wantNewer(String peer, Collection<RevisionLine> lines) {
        lines.stream().filter(table::isOlderThan).forEach(line -> asks.want(line.key(), peer));
        return takeAsks();
    }

    private List<Outgoing> takeAsks() {
        return asks.take(time.monotonicNanos()).stream()
                .map(wanted -> new Outgoing(wanted.peer(), ask(wanted.key())))
                .toList();
    }

    private DisseminationMessage ask(DocumentKey key) {
        return new DisseminationMessage.Ask(
                key, table.find(key).map(KnownDocument::revision).orElse(0L));
    }

    private boolean take(KnownDocument document) {
        if (!table.offer(document)) {
            return false;
        }
        listener.inForce(document);
        return true;
    }

    private boolean isBehindTable(KnownDocument document) {
        return table.findLine(document.key())
                .filter(known -> known.isNewerThan(document.line()))
                .isPresent();
    }

    private List<Outgoing> pushExcept(KnownDocument document, Optional<String> sender) {
        return neighbours.pushTargets().stream()
                .filter(target -> !sender.equals(Optional.of(target)))
                .map(target -> new Outgoing(target, new DisseminationMessage.Update(document)))
                .toList();
    }

    private Optional<String> nextPartner() {
        List<String> partners = neighbours.repairPartners();
        if (partners.isEmpty()) {
            return Optional.empty();
        }
        nextPartner = (nextPartner + 1) % partners.size();
        return Optional.of(partners.get(nextPartner));
    }

    private Outgoing compareWith(String peer) {
        long now = time.monotonicNanos();
        double factor = LEAST_PERIOD_FACTOR + PERIOD_SPREAD * random.nextDouble();
        nextComparisonAt = now + (long) (settings.comparePeriod().toNanos() * factor);
        progressSinceComparison = false;
        Comparison asked = new Comparison(random.nextLong(), peer, now);
        comparison = Optional.of(asked);
        return new Outgoing(peer, new DisseminationMessage.Compare(asked.number(), table.rootHash()));
    }

    private Optional<Comparison> answeredComparison(long number) {
        Optional<Comparison> asked = comparison.filter(pending -> pending.number() == number);
        if (asked.isPresent()) {
            comparison = Optional.empty();
        }
        return asked;
    }
}
