package org.aspenmoor.internal.settings;

import java.net.URI;

/**
 * Settings that every process has.
 *
 * @param name name of the process, unique within the platform
 * @param dataCentre data centre in which the process runs
 * @param address IP address on which the process listens
 * @param httpPort port for HTTP; 0 selects a free one
 * @param linkPort port for links from other processes; 0 selects a free one
 * @param store URL of the platform's object store
 * @param storeCallsPerSecond this process's share of the store's call budget
 * @param logFormat output format of the log
 */
public record ProcessSettings(
        String name,
        String dataCentre,
        String address,
        int httpPort,
        int linkPort,
        URI store,
        double storeCallsPerSecond,
        LogFormat logFormat) {}
