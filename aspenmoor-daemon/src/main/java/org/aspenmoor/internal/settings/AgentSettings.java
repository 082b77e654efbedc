package org.aspenmoor.internal.settings;

import java.time.Duration;

/**
 * Settings of an agent.
 *
 * @param process settings that every process has
 * @param backend the backend server that the agent serves
 * @param requestCredit maximum number of requests that the agent runs at the same time for one entry
 * @param drainLimit how long a graceful shutdown waits for running requests
 */
public record AgentSettings(ProcessSettings process, BackendSettings backend, int requestCredit, Duration drainLimit)
        implements DaemonSettings {}
