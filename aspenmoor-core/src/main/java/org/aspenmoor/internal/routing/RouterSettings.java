package org.aspenmoor.internal.routing;

/**
 * What a router is tuned by.
 *
 * @param speed how fast engines are assumed to work
 * @param dataCentre the data centre the router runs in
 * @param remoteSeconds what reaching an engine in another data centre adds
 * @param sampledCandidates how many random candidates are compared for each stage of a decision
 * @param adapterLoadSeconds what an engine without the adapter in memory adds
 * @param mostIndexedPieces how many cache pieces the prefix index remembers
 * @param pieceTokens how many tokens of a prompt one cache piece covers
 */
public record RouterSettings(
        EngineSpeed speed,
        String dataCentre,
        double remoteSeconds,
        int sampledCandidates,
        double adapterLoadSeconds,
        int mostIndexedPieces,
        int pieceTokens) {
    private static final double USUAL_REMOTE_SECONDS = 0.001;
    private static final int USUAL_SAMPLE = 4;
    private static final double USUAL_ADAPTER_LOAD_SECONDS = 0.4;
    private static final int USUAL_INDEXED_PIECES = 65_536;
    private static final int USUAL_PIECE_TOKENS = 2_000;

    /** Returns the settings that the policy bench was tuned with. */
    public static RouterSettings usual(String dataCentre) {
        return new RouterSettings(
                EngineSpeed.usual(),
                dataCentre,
                USUAL_REMOTE_SECONDS,
                USUAL_SAMPLE,
                USUAL_ADAPTER_LOAD_SECONDS,
                USUAL_INDEXED_PIECES,
                USUAL_PIECE_TOKENS);
    }
}
