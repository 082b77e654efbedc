package org.aspenmoor.internal.authority;

import java.util.Optional;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Keeps the role plan that is in force for a process that obeys or serves by it.
 *
 * <p>A watch repeats itself after a gap, and an old replica of the store may answer a read with a plan that was
 * replaced long ago. Obeyed, it would move engines back. So only a higher (term, revision) is ever taken; renewals
 * change neither and are ignored. There is no expiry here: while the store is out, the last plan stays in force.
 */
public final class PlanReader {
    private Optional<PlanRecord> inForce = Optional.empty();

    /** Takes a plan that was read; returns it if it comes after the one in force. */
    public Optional<PlanRecord> offer(StoredObject object) throws StoreMalformedException {
        PlanRecord offered = PlanCodec.read(object);
        if (!offered.version().isAfter(version())) {
            return Optional.empty();
        }
        inForce = Optional.of(offered);
        return inForce;
    }

    /** Returns the plan in force, if any was ever read. */
    public Optional<PlanRecord> inForce() {
        return inForce;
    }

    /** Returns the version in force. */
    public PlanVersion version() {
        return inForce.map(PlanRecord::version).orElse(PlanVersion.NONE);
    }
}
