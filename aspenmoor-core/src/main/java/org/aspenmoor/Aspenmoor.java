package org.aspenmoor;

/**
 * Serves the models and small applications of many teams on a fixed fleet of engines.
 *
 * <p>Contents of this page:
 *
 * <ol>
 *   <li>Outcomes of a request
 *   <li>Sending a request to a model
 *   <li>Calling a plain service
 *   <li>Changing a service
 * </ol>
 *
 * <h2>1. Outcomes of a request</h2>
 *
 * Every request has exactly one {@link Outcome}: it was answered, it did not run, or whether it ran is unknown.
 *
 * <pre>{@code
 * switch (outcome) {
 *     case Outcome.Answered answered -> use(answered);
 *     case Outcome.NotRun refusal -> retryAfter(refusal.comeBackAfter());
 *     case Outcome.Unknown unknown -> report(unknown.detail());
 * }
 * }</pre>
 *
 * <h2>2. Sending a request to a model</h2>
 *
 * Any client of the completions protocol works; it sends the team's token in the {@code Authorization} header.
 *
 * <pre>{@code
 * POST /v1/completions
 * {"model": "scene-drafter", "prompt": "Rain on a tin roof.", "max_tokens": 40, "stream": true}
 * }</pre>
 *
 * <h2>3. Calling a plain service</h2>
 *
 * Calls below {@code /services/SERVICE/} are passed through to the service. A call that must not run twice needs an
 * idempotency key.
 *
 * <pre>{@code
 * POST /services/studio-desk/bookings
 * Idempotency-Key: 2b6c9d
 * }</pre>
 *
 * <h2>4. Changing a service</h2>
 *
 * The team edits the document of the service; there is no other way to configure it.
 *
 * <pre>{@code
 * aspenmoor document check examples/seitkali.json
 * aspenmoor document accept examples/seitkali.json --wait
 * }</pre>
 */
public final class Aspenmoor {
    /** The version of this build, as printed by the programs. */
    public static final String VERSION = "0.1.0";

    private Aspenmoor() {}
}
