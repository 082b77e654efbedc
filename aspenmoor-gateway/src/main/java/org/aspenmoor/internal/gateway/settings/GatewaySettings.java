package org.aspenmoor.internal.gateway.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import org.aspenmoor.internal.serving.PlacementSettings;

/**
 * The settings of an entry that serves callers itself.
 *
 * @param process its name
 * @param callers where it listens for callers
 * @param readiness where it says whether it wants new connections
 * @param readinessPath the path asked there
 * @param administration where metrics and the state dump are served
 * @param peers where it hears other entries
 * @param store the store's address
 * @param watchTime how long one call for changes may wait at the store
 * @param serverChangePause how long changes of servers may gather at the store before they are asked for
 * @param grace how long after SIGTERM the process is left alone
 * @param mostBodyBytes how many bytes of request bodies may be held at once
 * @param placement what placements go by
 * @param repeats how many repeats may be sent
 */
public record GatewaySettings(
        String process,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        String readinessPath,
        InetSocketAddress administration,
        InetSocketAddress peers,
        URI store,
        Duration watchTime,
        Duration serverChangePause,
        Duration grace,
        int mostBodyBytes,
        PlacementSettings placement,
        RepeatSettings repeats) {
    /** Returns whether the other names the same process and addresses, so that it can be taken up without a restart. */
    public boolean sameAddresses(GatewaySettings other) {
        return process.equals(other.process)
                && callers.equals(other.callers)
                && readiness.equals(other.readiness)
                && readinessPath.equals(other.readinessPath)
                && administration.equals(other.administration)
                && peers.equals(other.peers)
                && store.equals(other.store);
    }

    /** Returns the same settings with another store. */
    public GatewaySettings withStore(URI otherStore) {
        return new GatewaySettings(
                process,
                callers,
                readiness,
                readinessPath,
                administration,
                peers,
                otherStore,
                watchTime,
                serverChangePause,
                grace,
                mostBodyBytes,
                placement,
                repeats);
    }
}
