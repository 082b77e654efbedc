package org.aspenmoor.internal.authority;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The stored object that contains both the planning lease and the role plan of a service in a data centre.
 *
 * @param owner the incarnation of the process that holds the lease
 * @param nonce a random value, new for each write, by which the writer recognises its own write
 * @param version the term and revision of the plan
 * @param leaseLength how long a successor has to see no change before it takes over
 * @param displayedExpiry the end of the lease by the owner's wall clock; informational only
 * @param resigned whether the owner has released the lease, so that a successor need not wait
 * @param engines the assignments by engine name
 */
public record PlanRecord(
        String owner,
        String nonce,
        PlanVersion version,
        Duration leaseLength,
        Instant displayedExpiry,
        boolean resigned,
        Map<String, EngineAssignment> engines) {
    public PlanRecord {
        engines = Map.copyOf(engines);
    }

    /** Returns the assignment of an engine; empty if the plan does not contain the engine. */
    public Optional<EngineAssignment> assignment(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    /** Returns the record with a renewed lease. */
    PlanRecord renewed(String newNonce, Instant newExpiry) {
        return new PlanRecord(owner, newNonce, version, leaseLength, newExpiry, false, engines);
    }

    /** Returns the record with the lease released. */
    PlanRecord withLeaseReleased(String newNonce) {
        return new PlanRecord(owner, newNonce, version, leaseLength, displayedExpiry, true, engines);
    }

    /** Returns the record with a new plan under the next revision. */
    PlanRecord withPlan(String newNonce, Instant newExpiry, Map<String, EngineAssignment> plan) {
        PlanVersion next = new PlanVersion(version.term(), version.revision() + 1);
        return new PlanRecord(owner, newNonce, next, leaseLength, newExpiry, false, plan);
    }

    /** Returns the record with a new owner: the next term, the same plan. */
    PlanRecord takenOver(String newOwner, String newNonce, Duration newLength, Instant newExpiry) {
        PlanVersion next = new PlanVersion(version.term() + 1, version.revision());
        return new PlanRecord(newOwner, newNonce, next, newLength, newExpiry, false, engines);
    }

    /** Returns the assignments sorted by engine name. */
    Map<String, EngineAssignment> sortedEngines() {
        return new TreeMap<>(engines);
    }
}
