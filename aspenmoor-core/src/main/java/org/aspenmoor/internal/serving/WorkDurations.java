package org.aspenmoor.internal.serving;

/**
 * How long work takes at one server, in seconds, as it was estimated when the work was assigned.
 *
 * @param nominal at the speed of the settings
 * @param learned at the learned usual speed of the server
 * @param expected until the answer starts, at the usual speed of the server
 * @param statedSlowdown how many times longer than usual the server was expected to take at that moment
 */
record WorkDurations(double nominal, double learned, double expected, double statedSlowdown) {}
