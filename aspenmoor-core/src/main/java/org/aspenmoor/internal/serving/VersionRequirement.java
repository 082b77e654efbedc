package org.aspenmoor.internal.serving;

import java.util.Set;

/** Which software versions may serve a request. */
public sealed interface VersionRequirement {
    /** Any version may serve it. */
    record Any() implements VersionRequirement {}

    /**
     * A new stream that may be taken up again: any version may begin it, preferably one that several servers run, since
     * no other version may write the rest if its server fails.
     *
     * @param stated the versions that this entry has stated in the store; streams begin at others only if no server of
     *     these can answer, since nobody would know of the others if all entries were killed
     */
    record PreferablyShared(Set<SoftwareVersion> stated) implements VersionRequirement {}

    /**
     * The rest of a stream: only the version that has written its beginning may go on. Servers do not check this; the
     * events of another version do not fit the ones that the caller has.
     *
     * @param version the version that has written the first event
     */
    record Exactly(SoftwareVersion version) implements VersionRequirement {}

    /** Returns whether servers of a version may serve the request. */
    default boolean permits(SoftwareVersion candidate) {
        return switch (this) {
            case Any any -> true;
            case PreferablyShared shared -> true;
            case Exactly exactly -> exactly.version().equals(candidate);
        };
    }
}
