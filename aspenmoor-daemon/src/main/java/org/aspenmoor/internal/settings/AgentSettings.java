package org.aspenmoor.internal.settings;

import java.time.Duration;

/**
 * Settings of an agent.
 *
 * @param process what every process is told
 * @param backend the backend server it stands beside
 * @param requestCredit most requests it runs at once for one entry
 * @param drainLimit how long a graceful shutdown waits for running requests
 */
public record AgentSettings(ProcessSettings process, BackendSettings backend, int requestCredit, Duration drainLimit)
        implements DaemonSettings {}
