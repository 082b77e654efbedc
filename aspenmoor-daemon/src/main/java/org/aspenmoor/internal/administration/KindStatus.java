package org.aspenmoor.internal.administration;

/**
 * The requests of one kind since the process started.
 *
 * @param kind the kind's name
 * @param received how many came
 * @param answered how many were answered whole
 * @param notRun how many were refused without having run
 * @param unknown how many ended with nobody knowing
 * @param inFlight how many have not ended
 */
public record KindStatus(String kind, long received, long answered, long notRun, long unknown, long inFlight) {}
