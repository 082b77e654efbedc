package org.aspenmoor.internal.gateway.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.PlacementSettings;

/**
 * The settings of an entry that forwards requests directly to backend servers.
 *
 * @param process the name of the entry process
 * @param callers the address that callers connect to
 * @param readiness the address at which the entry reports whether it accepts new connections
 * @param readinessPath the path of the readiness report
 * @param administration the address at which metrics and the state dump are served
 * @param peers the address at which reports of other entries are received
 * @param store the address of the store
 * @param watchPollWait how long one long poll for changes may wait at the store
 * @param serverChangePause how long changes of servers are left to accumulate at the store before the next poll
 * @param storeBounds the times within which changes in the store must be in force
 * @param gracePeriod how long after SIGTERM the process may run before it is killed
 * @param maxBodyBytes the maximum total size of the request bodies held in memory, in bytes
 * @param maxBufferedBytes the maximum number of bytes buffered for all callers and servers together
 * @param placement the settings for the placement of requests
 * @param pauseBetweenHolders the time that receivers of orders and reports require between the calls of two entries
 * @param duties the duties that one entry performs for all; empty if there are none
 * @param retries the limits on retries of requests
 */
public record GatewaySettings(
        String process,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        String readinessPath,
        InetSocketAddress administration,
        InetSocketAddress peers,
        URI store,
        Duration watchPollWait,
        Duration serverChangePause,
        StoreBounds storeBounds,
        Duration gracePeriod,
        int maxBodyBytes,
        long maxBufferedBytes,
        PlacementSettings placement,
        Duration pauseBetweenHolders,
        Optional<DutySettings> duties,
        RetrySettings retries) {
    /**
     * Returns whether the other settings have the same process name, addresses and duties, which only change with a
     * restart.
     */
    public boolean sameAddresses(GatewaySettings other) {
        return process.equals(other.process)
                && callers.equals(other.callers)
                && readiness.equals(other.readiness)
                && readinessPath.equals(other.readinessPath)
                && administration.equals(other.administration)
                && peers.equals(other.peers)
                && duties.equals(other.duties)
                && store.equals(other.store);
    }

    /** Returns a copy of these settings for another process and with another address of the store. */
    public GatewaySettings withProcessAndStore(String otherProcess, URI otherStore) {
        return new GatewaySettings(
                otherProcess,
                callers,
                readiness,
                readinessPath,
                administration,
                peers,
                otherStore,
                watchPollWait,
                serverChangePause,
                storeBounds,
                gracePeriod,
                maxBodyBytes,
                maxBufferedBytes,
                placement,
                pauseBetweenHolders,
                duties,
                retries);
    }
}
