package org.aspenmoor.internal.bench.policy.trace;

/** An incident in the fleet during a trace. */
public sealed interface TraceIncident {
    /** Returns the time of the incident, from the start of the trace. */
    double atSeconds();

    /**
     * An engine is withdrawn; its work in progress is lost.
     *
     * @param atSeconds time of the incident, from the start of the trace
     * @param engine index of the engine in the fleet, from 0
     */
    record Withdrawal(double atSeconds, int engine) implements TraceIncident {}

    /**
     * A withdrawn engine is restored, without work and cache.
     *
     * @param atSeconds time of the incident, from the start of the trace
     * @param engine index of the engine in the fleet, from 0
     */
    record Return(double atSeconds, int engine) implements TraceIncident {}

    /**
     * The delay of load reports changes.
     *
     * @param atSeconds time of the incident, from the start of the trace
     * @param lagSeconds new delay of load reports
     */
    record ReportLag(double atSeconds, double lagSeconds) implements TraceIncident {}
}
