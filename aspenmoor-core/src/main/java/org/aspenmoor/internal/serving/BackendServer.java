package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * One start of a backend server, as it registered itself.
 *
 * @param id its identity; a new start mostly has a new one
 * @param startedAt when it started, in milliseconds since 1970; tells starts under one identity apart
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its port
 * @param dataCentre where it stands
 * @param slots how many requests it works on at once
 * @param state whether it takes new work
 * @param role which part of a generation it does; {@link EngineRole#WHOLE} where it runs no model
 */
public record BackendServer(
        String id,
        long startedAt,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        BackendState state,
        EngineRole role) {
    /** Returns the same start as one that takes no new work. */
    BackendServer asDraining() {
        return new BackendServer(id, startedAt, service, host, port, dataCentre, slots, BackendState.DRAINING, role);
    }

    /** Returns whether the other is the same start at the same address, so that its connections stay good. */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id)
                && startedAt == other.startedAt
                && host.equals(other.host)
                && port == other.port
                && service.equals(other.service);
    }
}
