package org.aspenmoor.internal.routing;

/**
 * Settings of a {@link Router}.
 *
 * @param speed the assumed speed of engines
 * @param dataCentre the data centre the router runs in
 * @param remoteLatencySeconds added latency of an engine in another data centre
 * @param sampledCandidates how many random engines are compared for each role in a decision
 * @param adapterLoadSeconds added latency of an engine that first has to load the adapter
 * @param maxIndexedBlocks capacity of the prefix index in cache blocks
 * @param blockTokens prompt tokens that one cache block covers
 */
public record RouterSettings(
        EngineSpeed speed,
        String dataCentre,
        double remoteLatencySeconds,
        int sampledCandidates,
        double adapterLoadSeconds,
        int maxIndexedBlocks,
        int blockTokens) {
    private static final double DEFAULT_REMOTE_LATENCY_SECONDS = 0.001;
    private static final int DEFAULT_SAMPLED_CANDIDATES = 4;
    private static final double DEFAULT_ADAPTER_LOAD_SECONDS = 0.4;
    private static final int DEFAULT_INDEXED_BLOCKS = 65_536;
    private static final int DEFAULT_BLOCK_TOKENS = 2_000;

    /** Returns the default settings of a router in a data centre. */
    public static RouterSettings defaults(String dataCentre) {
        return new RouterSettings(
                EngineSpeed.defaults(),
                dataCentre,
                DEFAULT_REMOTE_LATENCY_SECONDS,
                DEFAULT_SAMPLED_CANDIDATES,
                DEFAULT_ADAPTER_LOAD_SECONDS,
                DEFAULT_INDEXED_BLOCKS,
                DEFAULT_BLOCK_TOKENS);
    }
}
