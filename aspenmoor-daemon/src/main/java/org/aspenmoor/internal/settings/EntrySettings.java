package org.aspenmoor.internal.settings;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Settings of an entry.
 *
 * @param process what every process is told
 * @param limits bounds on what callers may send and how much waits
 * @param leavingBound within which a leaving backend server gets no new work
 * @param stallTimeout after which an attempt that gives no sign is given up
 * @param engineSpeed how fast engines are assumed to work
 * @param operators who may use the administration API
 */
public record EntrySettings(
        ProcessSettings process,
        CallerLimits limits,
        Duration leavingBound,
        Duration stallTimeout,
        EngineSpeed engineSpeed,
        List<OperatorSettings> operators)
        implements DaemonSettings {
    public EntrySettings {
        operators = List.copyOf(operators);
    }
}
