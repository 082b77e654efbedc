package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * What one entry has observed of the start of answers since its last report, for the engines of one service with one
 * role. The values are geometric means over the answers, weighted by how much each answer shows of them.
 *
 * @param service the service
 * @param role the role
 * @param answers the number of answers
 * @param workWeight the total weight of the work factor
 * @param workFactor how many times longer work took than the settings specify
 * @param fixedWeight the total weight of the fixed part
 * @param fixedSeconds the part of the time until an answer starts that does not depend on work, in seconds
 */
public record ObservedStartDelays(
        String service,
        EngineRole role,
        int answers,
        double workWeight,
        double workFactor,
        double fixedWeight,
        double fixedSeconds) {}
