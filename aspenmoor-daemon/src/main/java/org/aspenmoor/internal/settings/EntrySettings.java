package org.aspenmoor.internal.settings;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Settings of an entry.
 *
 * @param process settings that every process has
 * @param limits limits on the requests of callers and on what is buffered for them
 * @param leavingBound maximum time until a leaving backend server is sent no more new work
 * @param stallTimeout time without progress after which an attempt is abandoned
 * @param engineSpeed assumed speed of the engines
 * @param operators operators who may use the administration API
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
