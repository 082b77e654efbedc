package org.aspenmoor.internal.routing;

/**
 * What a router is tuned by.
 *
 * @param speed how fast engines are assumed to work
 * @param dataCentre the data centre the router runs in
 * @param remoteLatencySeconds what reaching an engine in another data centre adds
 * @param sampledCandidates how many random candidates are compared for each stage of a decision
 * @param adapterLoadSeconds what an engine without the adapter in memory adds
 * @param maxIndexedBlocks how many cache pieces the prefix index remembers
 * @param blockTokens how many tokens of a prompt one cache piece covers
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

    /** Returns the settings that the policy bench was tuned with. */
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
