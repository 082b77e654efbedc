package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * The speed of the engines of one service with one role, as measured by one entry.
 *
 * @param service the service
 * @param role the role
 * @param factor how many times longer work takes than the settings specify
 * @param fixedSeconds the part of an answer's start-up time that does not depend on its work
 */
public record LearnedSpeed(String service, EngineRole role, double factor, double fixedSeconds) {}
