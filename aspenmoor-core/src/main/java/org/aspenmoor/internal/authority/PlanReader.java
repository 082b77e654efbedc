package org.aspenmoor.internal.authority;

import java.util.Optional;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Holds the role plan in force for a process that executes it or serves by it.
 *
 * <p>A watch repeats events after an interruption, and an outdated replica of the store may return a plan that was
 * replaced long ago; executing it would revert engines to old roles. Therefore only a plan with a higher (term,
 * revision) is accepted; renewals change neither and are ignored. Plans do not expire here: during an outage of the
 * store the last plan stays in force.
 */
public final class PlanReader {
    private Optional<PlanRecord> inForce = Optional.empty();

    /** Accepts a plan and returns it if its version is higher than that of the plan in force; empty otherwise. */
    public Optional<PlanRecord> offer(StoredObject object) throws StoreMalformedException {
        PlanRecord offered = PlanCodec.read(object);
        if (!offered.version().isAfter(version())) {
            return Optional.empty();
        }
        inForce = Optional.of(offered);
        return inForce;
    }

    /** Returns the plan in force; empty if none was read yet. */
    public Optional<PlanRecord> inForce() {
        return inForce;
    }

    /** Returns the version of the plan in force; {@link PlanVersion#NONE} if none was read yet. */
    public PlanVersion version() {
        return inForce.map(PlanRecord::version).orElse(PlanVersion.NONE);
    }
}
