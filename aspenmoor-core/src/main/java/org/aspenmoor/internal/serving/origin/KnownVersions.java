package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * The software versions that may have begun streams which callers still take up: those that this entry has seen, those of
 * which other entries tell, and those that entries have stated in the store.
 */
final class KnownVersions {
    /** Longest time between two looks at the server list; after a longer one, the process has been suspended. */
    private static final Duration MAX_OBSERVATION_GAP = Duration.ofMillis(500);

    private final StatedOrigins stated;
    private final ServiceVersions registered = new ServiceVersions();
    private final ServiceVersions heard = new ServiceVersions();
    private final long startedAt;
    private Duration window = StreamOriginTracker.MIN_WINDOW;
    private Set<String> resumableServices = Set.of();
    private boolean listCurrent;
    private boolean informed;
    private long observedSince;
    private long lastObservedAt;

    KnownVersions(String ownEntry, long now) {
        this.stated = new StatedOrigins(ownEntry);
        this.startedAt = now;
        this.observedSince = now;
        this.lastObservedAt = now;
    }

    Duration window() {
        return window;
    }

    /**
     * Sets for how long callers may take up streams; it is never shortened, since streams may have begun under the longer
     * one.
     */
    void extendWindow(Duration newWindow) {
        if (newWindow.compareTo(window) > 0) {
            window = newWindow;
        }
    }

    void resumableServices(Set<String> services) {
        resumableServices = Set.copyOf(services);
    }

    /**
     * Records a look at the server list.
     *
     * @param current whether the list has all changes, as far as this entry can tell
     * @return whether an uninterrupted observation begins
     */
    boolean observed(boolean current, long now) {
        boolean suspended = suspended(now);
        boolean begins = current && (!listCurrent || suspended);
        if (suspended || begins) {
            informed = false;
        }
        if (begins || !current) {
            observedSince = now;
        }
        listCurrent = current;
        lastObservedAt = now;
        informed |= knowsAll(now);
        return begins;
    }

    /** Forgets the versions that no caller's stream has any more. */
    void expire(long now) {
        registered.expire(window, now);
        heard.expire(window, now);
    }

    /** Records a server that is registered. */
    void registered(BackendServer server, long now) {
        registered.known(server.service(), server.softwareVersion(), now);
    }

    /** Records a version; returns whether it is a further one of its service. */
    boolean sighted(VersionSighting sighting, long now) {
        if (sighting.age().compareTo(window) > 0) {
            return false;
        }
        boolean first = heard.known(
                sighting.service(), sighting.version(), now - sighting.age().toNanos());
        return first && several(sighting.service());
    }

    /** Applies what entries have stated in the store; returns the services that have several versions since. */
    Set<String> listed(OriginListing listing, long now) {
        Set<String> before = servicesWithSeveral();
        stated.listed(listing, window);
        informed |= knowsAll(now);
        Set<String> after = servicesWithSeveral();
        after.removeAll(before);
        return after;
    }

    void accepted(Set<StreamOrigin> origins, long now) {
        stated.accepted(origins, now);
    }

    void requested(Set<StreamOrigin> origins) {
        stated.requested(origins);
    }

    /**
     * Returns whether this entry knows all versions now: it has seen the servers without a gap for as long as callers may
     * take up streams, or since before it has read what the other entries state.
     */
    boolean knowsAll(long now) {
        return observedForWindow(now) || (observing(now) && stated.requestedSince(observedSince));
    }

    /** Returns whether this entry has seen the servers without a gap for as long as callers may take up streams. */
    boolean observedForWindow(long now) {
        return observing(now) && now - observedSince >= window.toNanos();
    }

    /** Returns whether the list of servers had all changes at the last look, as far as this entry can tell. */
    boolean listCurrent() {
        return listCurrent;
    }

    private boolean observing(long now) {
        return listCurrent && !suspended(now);
    }

    private boolean suspended(long now) {
        return now - lastObservedAt > MAX_OBSERVATION_GAP.toNanos();
    }

    /**
     * Returns whether this entry has known all versions at some time since it last began to see the servers without a
     * gap; false after a suspension, until it looks at the servers again. Otherwise that it has heard of a single version
     * says nothing.
     */
    boolean informed(long now) {
        return informed && !suspended(now);
    }

    /** Returns the versions of a service, with the time since they were known. */
    List<VersionSighting> of(String service, long now) {
        List<VersionSighting> sightings = new ArrayList<>(heard.of(service, now));
        Set<StreamOrigin> known = sightings.stream()
                .map(sighting -> new StreamOrigin(service, sighting.version()))
                .collect(Collectors.toSet());
        for (StreamOrigin origin : stated.all(observedForWindow(now))) {
            if (origin.service().equals(service) && !known.contains(origin)) {
                sightings.add(new VersionSighting(service, origin.version(), Duration.ZERO));
            }
        }
        return sightings;
    }

    /** Returns whether more than one version of a service may have begun streams which callers still take up. */
    boolean several(String service) {
        return of(service, lastObservedAt).size() > 1;
    }

    /** Returns whether several versions may have begun streams of a service whose streams may be taken up. */
    boolean severalResumable() {
        return resumableServices.stream().anyMatch(this::several);
    }

    private Set<String> servicesWithSeveral() {
        Set<String> services = new TreeSet<>(heard.services());
        stated.all(observedForWindow(lastObservedAt)).forEach(origin -> services.add(origin.service()));
        services.removeIf(service -> !several(service));
        return services;
    }

    /** Returns what other entries are to be told: the versions that were seen of services which have several. */
    List<VersionSighting> toReport(long now) {
        return heard.servicesWithSeveral().stream()
                .flatMap(service -> heard.of(service, now).stream())
                .toList();
    }

    /** Returns whether this entry may state what streams it begins: it first reads what it stated before it restarted. */
    boolean mayWriteStatement() {
        return stated.known();
    }

    /** Returns what this entry states: where it may have begun streams which callers still take up. */
    Set<StreamOrigin> toState(long now) {
        Set<StreamOrigin> origins = new HashSet<>();
        for (String service : resumableServices) {
            registered.of(service, now).forEach(seen -> origins.add(new StreamOrigin(service, seen.version())));
        }
        if (now - startedAt <= window.toNanos()) {
            origins.addAll(stated.ofEarlierProcess());
        }
        return origins;
    }

    /** Returns what this entry states, as far as the store has accepted it. */
    Set<StreamOrigin> stated() {
        return stated.byThisEntry();
    }

    /**
     * Returns the versions of a service that this entry states, as far as the store has accepted it for so long; if there
     * is none of any service, those that it has accepted at all.
     */
    Set<SoftwareVersion> stated(String service, Duration time, long now) {
        return stated.byThisEntryFor(time, now).stream()
                .filter(origin -> origin.service().equals(service))
                .map(StreamOrigin::version)
                .collect(Collectors.toUnmodifiableSet());
    }
}
