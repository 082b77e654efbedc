package org.aspenmoor.internal.administration;

/**
 * The requests of one kind that have ended since the process started.
 *
 * @param kind the kind's name
 * @param answered how many were answered whole
 * @param notRun how many were refused without having run
 * @param unknown how many ended with nobody knowing
 * @param cancelled how many were given up by their callers
 */
public record KindStatus(String kind, long answered, long notRun, long unknown, long cancelled) {}
