package org.aspenmoor.internal.bench.capacity;

/** The size that the fleet is designed for, and what follows from it by plain division. */
final class Aim {
    static final int ENTRIES = 400;
    static final int ENGINES = 1800;
    static final int DATA_CENTRES = 9;
    static final int REGIONS = 3;
    static final int TEAMS = 3500;
    static final int MODELS = 25;
    static final double REQUESTS_PER_SECOND = 4900;
    static final double TOKENS_PER_SECOND = 1_500_000;
    static final double CHANGES_PER_SECOND = 3100 / 86_400.0;
    static final double MEMBERSHIP_CHANGES_PER_SECOND = (35 + 410) / 86_400.0;
    static final double SECONDS_IN_FORCE = 18;
    static final double SECONDS_BETWEEN_TOKENS = 0.035;
    static final double CONTROL_CORE_SHARE = 0.032;
    static final double CONTROL_BYTES_PER_SECOND = 2000;
    static final double CONTROL_MEMORY_BYTES = 256e6;
    static final double STORE_WRITES_PER_SECOND = 400;
    static final double STORE_READS_PER_SECOND = 2000;

    static final int ENTRIES_PER_DATA_CENTRE = Math.ceilDiv(ENTRIES, DATA_CENTRES);
    static final int AGENTS_PER_DATA_CENTRE = ENGINES / DATA_CENTRES;
    static final int AGENTS_PER_GROUP = AGENTS_PER_DATA_CENTRE / MODELS;
    static final double REQUESTS_PER_ENTRY = REQUESTS_PER_SECOND / ENTRIES;
    static final double TOKENS_PER_ENTRY = TOKENS_PER_SECOND / ENTRIES;
    static final double REQUESTS_PER_AGENT = REQUESTS_PER_SECOND / ENGINES;
    static final double TOKENS_PER_AGENT = TOKENS_PER_SECOND / ENGINES;
    static final double TOKENS_PER_REQUEST = TOKENS_PER_SECOND / REQUESTS_PER_SECOND;
    static final double SECONDS_PER_ANSWER = TOKENS_PER_REQUEST * SECONDS_BETWEEN_TOKENS;
    static final double STREAMS_PER_ENTRY = REQUESTS_PER_ENTRY * SECONDS_PER_ANSWER;
    static final double STREAMS_PER_AGENT = REQUESTS_PER_AGENT * SECONDS_PER_ANSWER;

    private Aim() {}
}
