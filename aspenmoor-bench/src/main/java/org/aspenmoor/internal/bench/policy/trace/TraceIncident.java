package org.aspenmoor.internal.bench.policy.trace;

/** Something that happens to the fleet during a trace. */
public sealed interface TraceIncident {
    /** Returns when it happens. */
    double atSeconds();

    /**
     * An engine is withdrawn; what it was working on is lost.
     *
     * @param atSeconds when
     * @param engine its position in the fleet, from 0
     */
    record Withdrawal(double atSeconds, int engine) implements TraceIncident {}

    /**
     * A withdrawn engine is back, empty.
     *
     * @param atSeconds when
     * @param engine its position in the fleet, from 0
     */
    record Return(double atSeconds, int engine) implements TraceIncident {}

    /**
     * From now on load reports arrive this late.
     *
     * @param atSeconds when
     * @param lagSeconds the new lag
     */
    record ReportLag(double atSeconds, double lagSeconds) implements TraceIncident {}
}
