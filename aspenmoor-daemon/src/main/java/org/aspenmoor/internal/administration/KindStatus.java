package org.aspenmoor.internal.administration;

/**
 * Number of requests of one kind that have ended since the process started, by outcome.
 *
 * @param kind name of the kind
 * @param answered requests that were answered completely
 * @param notRun requests that were refused without having run
 * @param unknown requests of which it is unknown whether they ran
 * @param cancelled requests that were cancelled by their callers
 */
public record KindStatus(String kind, long answered, long notRun, long unknown, long cancelled) {}
