package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Knows which software version began a stream, and decides whether a stream that a caller takes up again may go on.
 *
 * <p>While a service has a single version, nothing is told or asked. As soon as another one is known, entries tell a few
 * others, chosen by a hash of the stream, of each stream when its first event arrives, and of those that began before. An
 * entry that does not know a stream asks them. If nobody knows it and several versions serve, it does not go on: a wrong
 * guess would join the events of two versions, and nobody would notice before the caller. Which versions serve, entries
 * also state in the store, because all who know may be killed at once.
 */
public final class StreamOriginTracker {
    /** Shortest time for which callers are expected to take up a stream again. */
    static final Duration MIN_WINDOW = Duration.ofSeconds(30);

    /** Callers that come back several times may take as long as several requests. */
    private static final int REQUESTS_PER_WINDOW = 2;

    /** Time after which a question that was not answered is sent again; most replies take a few milliseconds. */
    static final Duration REPEAT_AFTER = Duration.ofMillis(60);

    /** Time after which no reply is waited for; a caller who has to begin anew should learn it soon. */
    static final Duration MAX_WAIT = Duration.ofMillis(300);

    /**
     * Maximum number of remembered streams, a few megabytes. Only servers' answers add streams, so callers cannot fill it
     * faster than the servers answer.
     */
    private static final int MAX_STREAMS = 20_000;

    /** Records older than callers may take up streams are ignored; clocks may have jumped by so much. */
    private static final Duration MAX_CLOCK_JUMP = Duration.ofMinutes(1);

    /** Distance between the first question numbers of processes that start a millisecond apart, as a power of two. */
    private static final int NUMBERS_PER_MILLISECOND_BITS = 16;

    private final OriginNetwork network;
    private final TimeSource time;
    private final Duration listBound;
    private final OriginHolders holders;
    private final StreamOrigins streams = new StreamOrigins(MAX_STREAMS);
    private final StreamOrigins recorded = new StreamOrigins(MAX_STREAMS);
    private final StreamRecorder recorder;
    private final StreamAnnouncer announcer;
    private final KnownVersions versions;
    private final Map<Long, OriginInquiry> inquiries = new HashMap<>();
    private Set<StreamOrigin> stating = Set.of();
    private boolean recordsRequested;
    private long lastNumber;

    /**
     * Creates a tracker that knows no streams.
     *
     * @param listBound how old a list of servers may be that an entry relies on; zero if that is not bounded
     */
    public StreamOriginTracker(OriginNetwork network, TimeSource time, Duration listBound) {
        this.network = network;
        this.time = time;
        this.listBound = listBound;
        this.holders = new OriginHolders(network);
        this.recorder = new StreamRecorder(network, time);
        this.announcer = new StreamAnnouncer(network, holders, recorder);
        this.versions = new KnownVersions(network.ownEntry(), time.monotonicNanos());
        // A suspended entry may reply seconds later, when this entry has restarted: the reply must not count as the one
        // to a question about another stream.
        this.lastNumber = time.wallClockTime().toEpochMilli() << NUMBERS_PER_MILLISECOND_BITS;
    }

    /**
     * Applies the configuration in force.
     *
     * @param longestTimeout the longest time that a request may take, which is how long callers may come back
     * @param resumableServices the services whose streams callers may take up
     */
    public void configured(Duration longestTimeout, Set<String> resumableServices) {
        versions.extendWindow(longestTimeout.multipliedBy(REQUESTS_PER_WINDOW));
        versions.resumableServices(resumableServices);
    }

    /**
     * Records the servers that are known; to be called several times a second.
     *
     * @param current whether the list has all changes, as far as this entry can tell
     */
    public void serversObserved(Collection<BackendServer> servers, boolean current) {
        long now = time.monotonicNanos();
        if (versions.observed(current, now)) {
            network.listStatements();
        }
        servers.forEach(this::serverObserved);
        versions.expire(now);
        streams.expire(now);
        recorded.expire(now);
        recorder.expire();
        writeStatementIfChanged();
        loadRecordsIfNeeded();
    }

    /** Has the records read as soon as there may be streams of several versions that began before this entry started. */
    private void loadRecordsIfNeeded() {
        if (versions.severalResumable()) {
            loadRecords();
        }
    }

    private void loadRecords() {
        if (!recordsRequested) {
            recordsRequested = true;
            network.loadRecords();
        }
    }

    /** Applies the records that entries have written to the store, by the names of the entries. */
    public void recordsLoaded(Map<String, StreamRecord> records) {
        Duration maxAge = versions.window().plus(MAX_CLOCK_JUMP);
        long until = time.monotonicNanos() + versions.window().toNanos();
        Map<String, StreamRecord> usable = new HashMap<>(records);
        usable.values().removeIf(record -> record.age().compareTo(maxAge) >= 0);
        usable.values().stream()
                .flatMap(record -> record.streams().stream())
                .forEach(known -> recorded.record(known, until));
        StreamRecord own = usable.get(network.ownEntry());
        recorder.loaded(own == null ? List.of() : own.streams(), versions.window());
        for (OriginInquiry inquiry : List.copyOf(inquiries.values())) {
            inquiry.add(find(inquiry.question().stream()));
            concludeIfDecidable(inquiry);
        }
    }

    /** Records a server that is registered, whatever its state. */
    public void serverObserved(BackendServer server) {
        versions.registered(server, time.monotonicNanos());
        boolean first = versionKnown(new VersionSighting(server.service(), server.softwareVersion(), Duration.ZERO));
        if (first) {
            network.announceVersions();
            writeStatementIfChanged();
        }
    }

    /** Writes to the store what streams this entry may begin, if that has changed. */
    private void writeStatementIfChanged() {
        Set<StreamOrigin> toState = versions.toState(time.monotonicNanos());
        if (versions.mayWriteStatement() && !toState.equals(stating)) {
            stating = toState;
            versions.requested(toState);
            network.writeStatement(toState);
        }
    }

    /** Records what the store has accepted as this entry's statement. */
    public void statementAccepted(Set<StreamOrigin> origins) {
        versions.accepted(origins, time.monotonicNanos());
    }

    /** Applies what the entries have stated in the store. */
    public void statementsListed(OriginListing listing) {
        versions.listed(listing, time.monotonicNanos()).forEach(this::tellOfService);
        writeStatementIfChanged();
        loadRecordsIfNeeded();
        List.copyOf(inquiries.values()).forEach(this::concludeIfDecidable);
    }

    /** Returns what this entry has stated in the store. */
    public Set<StreamOrigin> statedOrigins() {
        return versions.stated();
    }

    /**
     * Returns the versions of a service at which this entry begins streams: those that it has stated for as long as
     * another entry may rely on a list of servers without them.
     */
    public Set<SoftwareVersion> statedVersions(String service) {
        return versions.stated(service, listBound, time.monotonicNanos());
    }

    /** Records the software versions that another entry knows. */
    public void versionsReported(List<VersionSighting> sightings) {
        sightings.forEach(this::versionKnown);
    }

    /** Records a version; returns whether it is a further one of its service, so that streams have to be told apart. */
    private boolean versionKnown(VersionSighting sighting) {
        boolean first = versions.sighted(sighting, time.monotonicNanos());
        if (first) {
            tellOfService(sighting.service());
        }
        return first;
    }

    private void tellOfService(String service) {
        List<KnownStream> began = streams.known(time.monotonicNanos()).stream()
                .filter(known -> known.origin().service().equals(service))
                .toList();
        announcer.tellAndRecord(began, versions.window());
    }

    /** Returns the software versions to be reported to the other entries: those of services that have several. */
    public List<VersionSighting> versionsToReport() {
        return versions.toReport(time.monotonicNanos());
    }

    /**
     * Records that the first event of a stream has arrived, before it is sent to the caller.
     *
     * @param keys the keys by which the caller may name the stream
     * @param services the services that may serve the request
     */
    public void streamBegan(List<StreamKey> keys, StreamOrigin origin, List<String> services) {
        List<KnownStream> known =
                keys.stream().map(key -> new KnownStream(key, origin)).toList();
        known.forEach(this::remember);
        if (onlyVersion(services).isEmpty()) {
            loadRecords();
            announcer.tellAndRecord(known, versions.window());
        }
    }

    /**
     * Remembers streams of which another entry has told.
     *
     * @param record whether this entry is to write them to the store
     */
    public void told(List<KnownStream> known, boolean record) {
        known.forEach(this::remember);
        if (record) {
            loadRecords();
            recorder.add(known, versions.window());
        }
    }

    private void remember(KnownStream known) {
        long now = time.monotonicNanos();
        streams.record(known, now + versions.window().toNanos());
        versionKnown(
                new VersionSighting(known.origin().service(), known.origin().version(), Duration.ZERO));
    }

    /** Tells other entries all that is remembered of services with several versions, since this entry stops. */
    public void handOver() {
        announcer.tell(streams.known(time.monotonicNanos()).stream()
                .filter(known -> versions.several(known.origin().service()))
                .toList());
    }

    /** Returns this entry's reply to a question of another one. */
    public OriginReply answer(String entryName, OriginQuestion question) {
        long now = time.monotonicNanos();
        return new OriginReply(
                entryName,
                question.number(),
                find(question.stream()),
                versions.of(question.service(), now),
                informed(now));
    }

    /**
     * Decides whether a stream that a caller takes up again may go on.
     *
     * @param stream the stream
     * @param services the services that may serve the request
     * @param listener receives the decision, possibly before this method returns
     * @return the inquiry that is open; empty if none is needed
     */
    public Optional<OriginInquiry> resolve(StreamKey stream, List<String> services, Consumer<ResumeDecision> listener) {
        long now = time.monotonicNanos();
        OriginKnowledge knowledge = find(stream);
        boolean mustAsk = knowledge instanceof OriginKnowledge.Unknown
                && !(versions.observedForWindow(now) && onlyVersion(services).isPresent());
        if (!mustAsk) {
            listener.accept(decide(knowledge, services, false));
            return Optional.empty();
        }
        return Optional.of(ask(stream, services, listener));
    }

    /** Returns what is remembered here or else was recorded in the store. */
    private OriginKnowledge find(StreamKey stream) {
        long now = time.monotonicNanos();
        OriginKnowledge remembered = streams.find(stream, now);
        return remembered instanceof OriginKnowledge.Unknown ? recorded.find(stream, now) : remembered;
    }

    private OriginInquiry ask(StreamKey stream, List<String> services, Consumer<ResumeDecision> listener) {
        if (onlyVersion(services).isEmpty()) {
            loadRecords();
        }
        OriginQuestion question = new OriginQuestion(++lastNumber, stream, services.getFirst());
        List<String> asked = holders.toAsk(stream);
        List<String> active = network.activeEntries();
        List<String> activeAsked = asked.stream().filter(active::contains).toList();
        OriginInquiry inquiry =
                new OriginInquiry(question, services, asked, activeAsked.isEmpty() ? asked : activeAsked, listener);
        inquiries.put(question.number(), inquiry);
        asked.forEach(entry -> network.ask(entry, question));
        network.schedule(REPEAT_AFTER, () -> askAgain(inquiry));
        network.schedule(MAX_WAIT, () -> conclude(inquiry));
        if (asked.isEmpty()) {
            network.schedule(Duration.ZERO, () -> concludeIfDecidable(inquiry));
        }
        return inquiry;
    }

    private void askAgain(OriginInquiry inquiry) {
        if (!inquiry.ended()) {
            inquiry.unheard().forEach(entry -> network.ask(entry, inquiry.question()));
        }
    }

    /** Applies the reply of another entry. */
    public void replied(OriginReply reply) {
        versionsReported(reply.versions());
        OriginInquiry inquiry = inquiries.get(reply.number());
        if (inquiry == null) {
            return;
        }
        inquiry.add(reply);
        concludeIfDecidable(inquiry);
    }

    /** Concludes an inquiry unless further replies, or the store, may still allow the stream to go on. */
    private void concludeIfDecidable(OriginInquiry inquiry) {
        if (inquiry.complete() && !storeAwaited(inquiry)) {
            conclude(inquiry);
        }
    }

    private boolean storeAwaited(OriginInquiry inquiry) {
        if (!(inquiry.knowledge() instanceof OriginKnowledge.Unknown)) {
            return false;
        }
        return onlyVersion(inquiry.services()).isPresent()
                ? !confirmed(inquiry) && !versions.knowsAll(time.monotonicNanos())
                : !recorder.isLoaded();
    }

    private void conclude(OriginInquiry inquiry) {
        inquiries.remove(inquiry.question().number());
        if (inquiry.ended()) {
            return;
        }
        if (inquiry.knowledge() instanceof OriginKnowledge.Known known) {
            remember(new KnownStream(inquiry.question().stream(), known.origin()));
        }
        inquiry.end(decide(inquiry.knowledge(), inquiry.services(), confirmed(inquiry)));
    }

    /**
     * Returns whether this entry knows all versions at which any entry may have begun streams. One that does not see the
     * servers learns of a new version from the others, provided that it hears all of them.
     */
    private boolean informed(long now) {
        return versions.informed(now) && (versions.listCurrent() || hearsAllEntries());
    }

    private boolean hearsAllEntries() {
        return new HashSet<>(network.activeEntries()).containsAll(network.registeredEntries());
    }

    /** Returns whether an entry that has known all versions has told of those that it knows. */
    private boolean confirmed(OriginInquiry inquiry) {
        boolean informedAlone =
                informed(time.monotonicNanos()) && network.registeredEntries().isEmpty();
        // A reply tells of the versions of one service only; the stream may be of another one of the route.
        boolean informedByOther = inquiry.informed() && inquiry.services().size() == 1;
        return informedByOther || informedAlone;
    }

    /**
     * Decides by what is known now.
     *
     * @param confirmed whether an entry that has known all versions has told of those that it knows
     */
    private ResumeDecision decide(OriginKnowledge knowledge, List<String> services, boolean confirmed) {
        return switch (knowledge) {
            case OriginKnowledge.Known known -> continueAt(known.origin(), services);
            case OriginKnowledge.Contradictory contradictory ->
                new ResumeDecision.Refuse("two streams with the stated request id have begun at different versions");
            case OriginKnowledge.Unknown unknown -> decideUnknown(services, confirmed);
        };
    }

    private static ResumeDecision continueAt(StreamOrigin origin, List<String> services) {
        return services.contains(origin.service())
                ? new ResumeDecision.Continue(origin, OriginBasis.REMEMBERED)
                : new ResumeDecision.Refuse("the stream has begun at service " + origin.service()
                        + ", which does not serve this route any more");
    }

    private ResumeDecision decideUnknown(List<String> services, boolean confirmed) {
        Optional<StreamOrigin> only = onlyVersion(services);
        if (only.isEmpty()) {
            return new ResumeDecision.Refuse("it is not known which software version has begun the stream");
        }
        // A process that has just started sees the version of the servers that are left, and so do others like it; the
        // stream may be of one that has left.
        return confirmed || versions.knowsAll(time.monotonicNanos())
                ? new ResumeDecision.Continue(only.get(), OriginBasis.ONLY_VERSION)
                : new ResumeDecision.Refuse("it is not known which software versions have served before, since neither"
                        + " the store nor an entry that knows them has been reached");
    }

    /** Returns the only origin that a stream may have; empty if there are several, or none is known. */
    private Optional<StreamOrigin> onlyVersion(List<String> services) {
        long now = time.monotonicNanos();
        List<StreamOrigin> origins = services.stream()
                .flatMap(service -> versions.of(service, now).stream())
                .map(sighting -> new StreamOrigin(sighting.service(), sighting.version()))
                .toList();
        return origins.size() == 1 ? Optional.of(origins.getFirst()) : Optional.empty();
    }

    /** Returns the number of streams whose origin is remembered. */
    public int rememberedStreams() {
        return streams.size();
    }
}
