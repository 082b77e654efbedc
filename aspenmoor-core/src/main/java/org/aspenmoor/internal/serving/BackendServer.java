package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * One incarnation of a backend server, as registered by the server itself.
 *
 * @param id the server's id; a restart usually gets a new one
 * @param startedAt start time in milliseconds since 1970; distinguishes incarnations with the same id
 * @param service the service it belongs to
 * @param softwareVersion the version of the software it runs
 * @param host its IP address
 * @param port its port
 * @param dataCentre the data centre it is in
 * @param slots how many requests it processes concurrently
 * @param state whether it accepts new work
 * @param role which part of a generation it does; {@link EngineRole#WHOLE} if it runs no model
 */
public record BackendServer(
        String id,
        long startedAt,
        String service,
        SoftwareVersion softwareVersion,
        String host,
        int port,
        String dataCentre,
        int slots,
        BackendState state,
        EngineRole role) {
    /** Returns a copy of this incarnation that accepts no new work. */
    public BackendServer asDraining() {
        return new BackendServer(
                id, startedAt, service, softwareVersion, host, port, dataCentre, slots, BackendState.DRAINING, role);
    }

    /**
     * Returns whether the other is the same incarnation at the same address, so that connections to it can be kept. Other
     * software means that the server has been restarted, even if it states the same start time.
     */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id)
                && startedAt == other.startedAt
                && host.equals(other.host)
                && port == other.port
                && service.equals(other.service)
                && softwareVersion.equals(other.softwareVersion);
    }
}
