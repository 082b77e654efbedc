package org.aspenmoor.internal.authority;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The one stored object of a service and data centre that holds both the lease and the role plan.
 *
 * @param owner the process that holds the lease, with its incarnation
 * @param nonce drawn anew for each write, so that its writer recognises it
 * @param version term and revision
 * @param leaseLength how long a successor has to see no change before it takes over
 * @param shownExpiry when the lease ends by the owner's time of day; for people only
 * @param resigned whether the owner gave the lease up, so that a successor need not wait
 * @param engines what is wanted of each engine, by its name
 */
public record PlanRecord(
        String owner,
        String nonce,
        PlanVersion version,
        Duration leaseLength,
        Instant shownExpiry,
        boolean resigned,
        Map<String, EngineAssignment> engines) {
    public PlanRecord {
        engines = Map.copyOf(engines);
    }

    /** Returns what is wanted of one engine, if the plan names it. */
    public Optional<EngineAssignment> assignment(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    /** Returns the record as the owner renews it. */
    PlanRecord renewed(String newNonce, Instant newExpiry) {
        return new PlanRecord(owner, newNonce, version, leaseLength, newExpiry, false, engines);
    }

    /** Returns the record as the owner gives it up. */
    PlanRecord resignedBy(String newNonce) {
        return new PlanRecord(owner, newNonce, version, leaseLength, shownExpiry, true, engines);
    }

    /** Returns the record with the next plan. */
    PlanRecord published(String newNonce, Instant newExpiry, Map<String, EngineAssignment> plan) {
        PlanVersion next = new PlanVersion(version.term(), version.revision() + 1);
        return new PlanRecord(owner, newNonce, next, leaseLength, newExpiry, false, plan);
    }

    /** Returns the record as a successor takes it over: the next term, the same plan. */
    PlanRecord takenOver(String newOwner, String newNonce, Duration newLength, Instant newExpiry) {
        PlanVersion next = new PlanVersion(version.term() + 1, version.revision());
        return new PlanRecord(newOwner, newNonce, next, newLength, newExpiry, false, engines);
    }

    /** Returns the engines in the order of their names. */
    Map<String, EngineAssignment> sortedEngines() {
        return new TreeMap<>(engines);
    }
}
