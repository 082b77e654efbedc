package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * The software versions of each service that may have begun streams which callers still take up: those that serve, and
 * those that have served within the window.
 */
final class ServiceVersions {
    private final Map<String, Map<SoftwareVersion, Long>> lastKnownAt = new HashMap<>();

    /** Records that servers of a version were known at the given time; returns whether the version was not known. */
    boolean known(String service, SoftwareVersion version, long at) {
        Map<SoftwareVersion, Long> versions = lastKnownAt.computeIfAbsent(service, unseen -> new HashMap<>());
        Long before = versions.get(version);
        versions.merge(version, at, Math::max);
        return before == null;
    }

    /** Returns the versions of a service; the time since they were known is at most the window. */
    List<VersionSighting> of(String service, long now) {
        List<VersionSighting> sightings = new ArrayList<>();
        lastKnownAt
                .getOrDefault(service, Map.of())
                .forEach((version, at) ->
                        sightings.add(new VersionSighting(service, version, Duration.ofNanos(Math.max(0, now - at)))));
        return sightings;
    }

    /** Returns whether more than one version of a service may have begun streams which callers still take up. */
    boolean several(String service) {
        return lastKnownAt.getOrDefault(service, Map.of()).size() > 1;
    }

    /** Returns the services of which versions are known. */
    Set<String> services() {
        return lastKnownAt.keySet();
    }

    /** Returns the services of which several versions are known. */
    List<String> servicesWithSeveral() {
        return lastKnownAt.keySet().stream().filter(this::several).sorted().toList();
    }

    /** Forgets the versions that have not been known within the window. */
    void expire(Duration window, long now) {
        lastKnownAt.values().forEach(versions -> versions.values().removeIf(at -> now - at > window.toNanos()));
        lastKnownAt.values().removeIf(Map::isEmpty);
    }
}
