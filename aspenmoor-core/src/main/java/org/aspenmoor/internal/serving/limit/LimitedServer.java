package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;

/** One incarnation of a server: its limit, the claims of the other entries to it, and this entry's share of it. */
final class LimitedServer {
    /** Claims are repeated several times a second; the claim of an entry that is silent for this long is void. */
    private static final long CLAIM_TIMEOUT_NANOSECONDS =
            Duration.ofMillis(1500).toNanos();

    private final BackendServer server;
    private final long tieBreak;
    private final KnownLimit limit = new KnownLimit();
    private final DemandClass demandClass = new DemandClass();
    private final Map<String, ReportedClaim> claims = new HashMap<>();
    private ShareBucket bucket = new ShareBucket(0, 0);

    LimitedServer(BackendServer server, long tieBreak) {
        this.server = server;
        this.tieBreak = tieBreak;
    }

    BackendServer server() {
        return server;
    }

    KnownLimit limit() {
        return limit;
    }

    ShareBucket bucket() {
        return bucket;
    }

    /** Starts with a part of a request when a limit begins. */
    void startBucket(double available, long now) {
        bucket = new ShareBucket(available, now);
    }

    ShareClaim claim(double demand) {
        return new ShareClaim(demand, demandClass.update(demand), tieBreak);
    }

    /** Records the claim of another entry; one that knows of no limit has none. */
    void claimReported(String entry, StatedLimit reported, long now) {
        if (reported.requestsPerSecond().isPresent()) {
            claims.put(entry, new ReportedClaim(reported.share(), now));
        } else {
            claims.remove(entry);
        }
    }

    Collection<ShareClaim> reportedClaims(long now) {
        claims.values().removeIf(claim -> now - claim.receivedAt() > CLAIM_TIMEOUT_NANOSECONDS);
        return claims.values().stream().map(ReportedClaim::claim).toList();
    }

    /** Returns the time since the oldest known claim of another entry was received; empty if none is known. */
    Optional<Duration> oldestClaim(long now) {
        return claims.values().stream()
                .map(claim -> Duration.ofNanos(now - claim.receivedAt()))
                .max(Duration::compareTo);
    }

    Optional<StatedLimit> toReport(double demand, long now) {
        return limit.reportableAge(now)
                .map(age -> new StatedLimit(
                        server.id(), server.startedAt(), limit.requestsPerSecond(), age, claim(demand)));
    }

    private record ReportedClaim(ShareClaim claim, long receivedAt) {}
}
