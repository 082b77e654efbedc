package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * How long answers of the engines of one service with one role are expected to take until they start.
 *
 * @param service the service
 * @param role the role
 * @param workFactor how many times longer work takes than the settings specify, with waits that no entry knows of
 * @param fixedSeconds the part of the time that does not depend on work, in seconds
 */
public record StartDelaySummary(String service, EngineRole role, double workFactor, double fixedSeconds) {}
