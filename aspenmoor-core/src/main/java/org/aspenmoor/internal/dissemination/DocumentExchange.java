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
 * The document dissemination of one process. Each method returns the messages to send; used by one thread.
 *
 * <p>Revisions only increase: every document, from the store or from a peer, is offered to the same
 * {@link RevisionTable}. The result therefore does not depend on the sender or on the order of arrival.
 */
public final class DocumentExchange {
    private static final double MIN_PERIOD_FACTOR = 0.75;
    private static final double PERIOD_JITTER = 0.5;

    private final ExchangeSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final InForceListener listener;
    private final RevisionTable table = new RevisionTable();
    private final WatchCoverage watchCoverage = new WatchCoverage();
    private final FetchWindow fetches;

    private Neighbours neighbours = new Neighbours(false, List.of(), List.of());
    private Optional<PendingComparison> comparison = Optional.empty();
    private Optional<Long> confirmedAtNanos = Optional.empty();
    private long nextComparisonAtNanos;
    private int partnerIndex;
    private boolean changedSinceComparison;

    public DocumentExchange(
            ExchangeSettings settings, TimeSource time, RandomGenerator random, InForceListener listener) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.listener = listener;
        this.fetches = new FetchWindow(settings);
        this.nextComparisonAtNanos = time.monotonicNanos();
        this.partnerIndex = random.nextInt(Short.MAX_VALUE);
    }

    /** Sets the neighbours after a change of the view of live entries. */
    public void neighboursChanged(Neighbours changed) {
        if (!changed.relay()) {
            watchCoverage.stop();
        }
        neighbours = changed;
    }

    /** Records that a listing followed by a watch is about to start, initially or after a gap. */
    public void watchStarting() {
        watchCoverage.start(table.keys());
    }

    /** Handles a document that this relay received from the store. */
    public List<AddressedMessage> receivedFromStore(DocumentRevision document, StoreUpdateSource source) {
        boolean knownBefore = table.find(document.key()).isPresent();
        boolean applied = apply(document);
        watchCoverage.receivedFromStore(document.key(), !isOlderThanKnown(document));
        // Without this condition, the first listing would push thousands of documents to processes that already have
        // them.
        boolean forward = applied && (source == StoreUpdateSource.WATCH_EVENT || knownBefore);
        return forward ? pushExcept(document, Optional.empty()) : List.of();
    }

    /** Records that the watch has just been confirmed to be complete up to now. */
    public void watchConfirmed() {
        if (watchCoverage.isComplete()) {
            confirmedAtNanos = Optional.of(time.monotonicNanos());
        }
    }

    /** Handles a message from a peer. */
    public List<AddressedMessage> received(String peer, DisseminationMessage message) {
        return switch (message) {
            case DisseminationMessage.Update update -> receivedUpdate(peer, update.document());
            case DisseminationMessage.FetchRequest fetchRequest -> receivedFetchRequest(peer, fetchRequest);
            case DisseminationMessage.Compare compare -> receivedCompare(peer, compare);
            case DisseminationMessage.Equal equal -> receivedEqual(equal);
            case DisseminationMessage.Differs differs -> receivedDiffers(peer, differs);
            case DisseminationMessage.BucketRevisions bucketRevisions -> receivedBucketRevisions(peer, bucketRevisions);
            case DisseminationMessage.NewerRevisions newerRevisions -> fetchNewer(peer, newerRevisions.revisions());
        };
    }

    /** Handles a notice from a process on the data path that it knows a newer revision. */
    public List<AddressedMessage> receivedHint(String peer, DocumentKey key, long revision) {
        long known = table.find(key).map(DocumentRevision::revision).orElse(0L);
        if (revision > known) {
            fetches.enqueue(key, peer);
        }
        return startFetches();
    }

    /** Runs the work that is due: fetches, timeouts and comparisons. To be called a few times per second. */
    public List<AddressedMessage> tick() {
        long now = time.monotonicNanos();
        fetches.expire(now);
        List<AddressedMessage> outgoing = new ArrayList<>(startFetches());
        long answerTimeout = settings.answerTimeout().toNanos();
        boolean unanswered = comparison
                .filter(pending -> now - pending.sentAtNanos() >= answerTimeout)
                .isPresent();
        if (unanswered) {
            comparison = Optional.empty();
        }
        if (unanswered || (comparison.isEmpty() && now - nextComparisonAtNanos >= 0)) {
            nextPartner().ifPresent(peer -> outgoing.add(compareWith(peer)));
        }
        return outgoing;
    }

    /** Returns the newest known revision of a document. */
    public Optional<DocumentRevision> find(DocumentKey key) {
        return table.find(key);
    }

    /** Returns the table of known documents. */
    public RevisionTable table() {
        return table;
    }

    /** Returns the time since this process was last confirmed to hold every accepted document; empty if never. */
    public Optional<Duration> confirmedAge() {
        return confirmedAtNanos.map(confirmedAt -> Duration.ofNanos(time.monotonicNanos() - confirmedAt));
    }

    /** Returns how many documents are waiting to be fetched or being fetched; bounded by the settings. */
    public int pendingFetches() {
        return fetches.size();
    }

    private List<AddressedMessage> receivedUpdate(String peer, DocumentRevision document) {
        boolean requested = fetches.complete(document.key());
        boolean initialFetch = requested && table.find(document.key()).isEmpty();
        List<AddressedMessage> outgoing = new ArrayList<>();
        if (apply(document)) {
            watchCoverage.receivedFromPeer(document.key());
            changedSinceComparison = true;
            if (!initialFetch) {
                outgoing.addAll(pushExcept(document, Optional.of(peer)));
            }
        } else if (isOlderThanKnown(document)) {
            table.find(document.key())
                    .ifPresent(
                            newer -> outgoing.add(new AddressedMessage(peer, new DisseminationMessage.Update(newer))));
        }
        outgoing.addAll(startFetches());
        if (requested && fetches.isIdle() && changedSinceComparison && comparison.isEmpty()) {
            outgoing.add(compareWith(peer));
        }
        return outgoing;
    }

    private List<AddressedMessage> receivedFetchRequest(String peer, DisseminationMessage.FetchRequest fetchRequest) {
        return table.find(fetchRequest.key())
                .filter(known -> known.revision() >= fetchRequest.revision())
                .map(known -> List.of(new AddressedMessage(peer, new DisseminationMessage.Update(known))))
                .orElse(List.of());
    }

    private List<AddressedMessage> receivedCompare(String peer, DisseminationMessage.Compare compare) {
        DisseminationMessage answer = compare.rootHash() == table.rootHash()
                ? new DisseminationMessage.Equal(compare.comparisonId(), confirmedAge())
                : new DisseminationMessage.Differs(compare.comparisonId(), table.bucketHashes());
        return List.of(new AddressedMessage(peer, answer));
    }

    private List<AddressedMessage> receivedEqual(DisseminationMessage.Equal equal) {
        Optional<PendingComparison> pending = takeAnsweredComparison(equal.comparisonId());
        if (pending.isPresent() && equal.confirmedAge().isPresent()) {
            // The peer answered after the comparison was sent, so counting from the time of sending never makes this
            // table appear more recently confirmed than it is.
            long confirmedAt =
                    pending.get().sentAtNanos() - equal.confirmedAge().get().toNanos();
            confirmedAtNanos = Optional.of(
                    confirmedAtNanos.map(known -> Math.max(known, confirmedAt)).orElse(confirmedAt));
        }
        return List.of();
    }

    private List<AddressedMessage> receivedDiffers(String peer, DisseminationMessage.Differs differs) {
        if (takeAnsweredComparison(differs.comparisonId()).isEmpty()
                || differs.bucketHashes().size() != RevisionTable.BUCKETS) {
            return List.of();
        }
        List<Integer> buckets = differingBuckets(differs.bucketHashes());
        List<RevisionSummary> summaries = new ArrayList<>();
        buckets.forEach(bucket -> summaries.addAll(table.summaries(bucket)));
        return buckets.isEmpty()
                ? List.of()
                : List.of(new AddressedMessage(peer, new DisseminationMessage.BucketRevisions(buckets, summaries)));
    }

    private List<Integer> differingBuckets(List<Long> peerHashes) {
        List<Long> hashes = table.bucketHashes();
        List<Integer> differing = new ArrayList<>();
        int start = random.nextInt(RevisionTable.BUCKETS);
        for (int step = 0; step < RevisionTable.BUCKETS; step++) {
            int bucket = (start + step) % RevisionTable.BUCKETS;
            if (!hashes.get(bucket).equals(peerHashes.get(bucket))
                    && differing.size() < settings.maxBucketsPerMessage()) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    private List<AddressedMessage> receivedBucketRevisions(String peer, DisseminationMessage.BucketRevisions message) {
        Set<DocumentKey> peerKeys = new TreeSet<>(DocumentKey.ORDER);
        Set<DocumentKey> outdatedAtPeer = new TreeSet<>(DocumentKey.ORDER);
        for (RevisionSummary summary : message.revisions()) {
            peerKeys.add(summary.key());
            table.findSummary(summary.key())
                    .filter(own -> own.isNewerThan(summary))
                    .ifPresent(own -> outdatedAtPeer.add(summary.key()));
        }
        List<RevisionSummary> newer = message.buckets().stream()
                .filter(bucket -> bucket >= 0 && bucket < RevisionTable.BUCKETS)
                .flatMap(bucket -> table.summaries(bucket).stream())
                .filter(own -> outdatedAtPeer.contains(own.key()) || !peerKeys.contains(own.key()))
                .toList();
        List<AddressedMessage> outgoing = new ArrayList<>(fetchNewer(peer, message.revisions()));
        if (!newer.isEmpty()) {
            outgoing.add(new AddressedMessage(peer, new DisseminationMessage.NewerRevisions(newer)));
        }
        return outgoing;
    }

    private List<AddressedMessage> fetchNewer(String peer, Collection<RevisionSummary> summaries) {
        summaries.stream().filter(table::isOutdatedBy).forEach(summary -> fetches.enqueue(summary.key(), peer));
        return startFetches();
    }

    private List<AddressedMessage> startFetches() {
        return fetches.startFetches(time.monotonicNanos()).stream()
                .map(fetch -> new AddressedMessage(fetch.peer(), fetchRequest(fetch.key())))
                .toList();
    }

    private DisseminationMessage fetchRequest(DocumentKey key) {
        return new DisseminationMessage.FetchRequest(
                key, table.find(key).map(DocumentRevision::revision).orElse(0L));
    }

    private boolean apply(DocumentRevision document) {
        if (!table.offer(document)) {
            return false;
        }
        listener.inForce(document);
        return true;
    }

    private boolean isOlderThanKnown(DocumentRevision document) {
        return table.findSummary(document.key())
                .filter(known -> known.isNewerThan(document.summary()))
                .isPresent();
    }

    private List<AddressedMessage> pushExcept(DocumentRevision document, Optional<String> sender) {
        return neighbours.pushTargets().stream()
                .filter(target -> !sender.equals(Optional.of(target)))
                .map(target -> new AddressedMessage(target, new DisseminationMessage.Update(document)))
                .toList();
    }

    private Optional<String> nextPartner() {
        List<String> partners = neighbours.repairPartners();
        if (partners.isEmpty()) {
            return Optional.empty();
        }
        partnerIndex = (partnerIndex + 1) % partners.size();
        return Optional.of(partners.get(partnerIndex));
    }

    private AddressedMessage compareWith(String peer) {
        long now = time.monotonicNanos();
        double factor = MIN_PERIOD_FACTOR + PERIOD_JITTER * random.nextDouble();
        nextComparisonAtNanos = now + (long) (settings.comparePeriod().toNanos() * factor);
        changedSinceComparison = false;
        PendingComparison pending = new PendingComparison(random.nextLong(), peer, now);
        comparison = Optional.of(pending);
        return new AddressedMessage(peer, new DisseminationMessage.Compare(pending.id(), table.rootHash()));
    }

    private Optional<PendingComparison> takeAnsweredComparison(long comparisonId) {
        Optional<PendingComparison> answered = comparison.filter(pending -> pending.id() == comparisonId);
        if (answered.isPresent()) {
            comparison = Optional.empty();
        }
        return answered;
    }
}
