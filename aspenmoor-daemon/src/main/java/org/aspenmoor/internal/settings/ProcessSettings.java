package org.aspenmoor.internal.settings;

import java.net.URI;

/**
 * What every process is told.
 *
 * @param name the process's name, unique within the platform
 * @param dataCentre where it runs
 * @param address the IP number it listens at
 * @param httpPort port for HTTP; 0 for a free one
 * @param linkPort port for links from other processes; 0 for a free one
 * @param store the platform's object store
 * @param storeCallsPerSecond this process's share of the store's budget
 * @param logFormat how logs are written
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
