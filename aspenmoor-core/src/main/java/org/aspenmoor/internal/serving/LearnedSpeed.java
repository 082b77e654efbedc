package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * How fast an entry has found the engines of one service with one role.
 *
 * @param service the service
 * @param role the role
 * @param factor how many times longer than the settings say work takes
 * @param fixedSeconds what an answer takes beside its work
 */
public record LearnedSpeed(String service, EngineRole role, double factor, double fixedSeconds) {}
