package org.aspenmoor.internal.duty;

/**
 * What an entry states about duties in its reports to the others.
 *
 * @param eligible whether it may perform duties: it is ready, does not stop, and reaches the store
 * @param collectsUsage whether it performs the usage duty, so that the others send it their counts
 * @param settledUsageWindow the last window up to which usage needs no further action, as far as it knows; -1 if none
 * @param wallClockMillis its wall clock when the report was sent, in milliseconds since 1970
 */
public record DutyStatus(boolean eligible, boolean collectsUsage, long settledUsageWindow, long wallClockMillis) {}
