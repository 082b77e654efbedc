package org.aspenmoor;

/**
 * Serves models and small applications of many teams on a fixed fleet of engines.
 *
 * <p>Contents of this page:
 *
 * <ol>
 *   <li>What a request can end in
 *   <li>How a caller asks a model
 *   <li>How a caller reaches a plain service
 *   <li>How a team changes its service
 * </ol>
 *
 * <h2>1. What a request can end in</h2>
 *
 * Every request ends in exactly one {@link Outcome}: it was answered, it did not run, or nobody knows.
 *
 * <pre>{@code
 * switch (outcome) {
 *     case Outcome.Answered answered -> use(answered);
 *     case Outcome.NotRun refusal -> comeBackAfter(refusal.comeBackAfter());
 *     case Outcome.Unknown unknown -> askTheRecord(unknown.detail());
 * }
 * }</pre>
 *
 * <h2>2. How a caller asks a model</h2>
 *
 * Any client of the completions protocol works; the team's token goes into the {@code Authorization} header.
 *
 * <pre>{@code
 * POST /v1/completions
 * {"model": "scene-drafter", "prompt": "Rain on a tin roof.", "max_tokens": 40, "stream": true}
 * }</pre>
 *
 * <h2>3. How a caller reaches a plain service</h2>
 *
 * Calls below {@code /services/SERVICE/} are passed through. A call that must not run twice carries a key.
 *
 * <pre>{@code
 * POST /services/studio-desk/bookings
 * Idempotency-Key: 2b6c9d
 * }</pre>
 *
 * <h2>4. How a team changes its service</h2>
 *
 * The team edits its one document; nothing else moves an engine.
 *
 * <pre>{@code
 * aspenmoor document check examples/seitkali.json
 * aspenmoor document accept examples/seitkali.json --wait
 * }</pre>
 */
public final class Aspenmoor {
    /** The version of this build, as the programs print it. */
    public static final String VERSION = "0.1.0";

    private Aspenmoor() {}
}
