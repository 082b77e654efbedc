package org.aspenmoor.internal.bench.capacity;

/** Settings of other parts that the reckoning rests on; the page names each of them. */
final class RoleFigures {
    /** How often a lease is renewed. */
    static final double RENEWAL_SECONDS = 3;

    /** What one engine adds to a stored plan, in characters of JSON. */
    static final double PLAN_BYTES_PER_ENGINE = 100;

    /** How often an entry probes each linked agent today. */
    static final double PROBE_SECONDS = 1;

    /** How often an agent reads its engine's status; a busy engine's load is worth a report nearly each time. */
    static final double STATUS_SECONDS = 0.25;

    /** How many kinds of object an entry watches by itself today: documents, registrations, hosts. */
    static final int WATCHES_PER_ENTRY = 3;

    /** Resident memory of an entry that holds no documents and has answered nothing yet, from bin/path-cost. */
    static final double ENTRY_RESIDENT_BYTES = 144.4e6;

    /** The same of an agent. */
    static final double AGENT_RESIDENT_BYTES = 125.7e6;

    private RoleFigures() {}
}
