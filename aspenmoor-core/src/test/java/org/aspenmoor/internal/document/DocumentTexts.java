package org.aspenmoor.internal.document;

/** Documents used by several tests. */
final class DocumentTexts {
    static final String HASH = "a".repeat(64);

    static final String DRAFTING = """
            {
              "team": "studio",
              "service": "drafting",
              "callerTokenHashes": ["%s"],
              "roleChangePrice": 40,
              "models": [
                {"name": "scene-drafter", "version": "3", "adapters": [{"name": "theatre", "version": "1"}]},
              ],
              "kinds": [
                {"name": "cue", "match": {"model": "scene-drafter", "mostPromptTokens": 400},
                 "weight": 5, "deadlineSeconds": 2.5, "longestOutputTokens": 60},
                {"name": "scene", "match": {"model": "scene-drafter"},
                 "weight": 1, "deadlineSeconds": 20, "longestOutputTokens": 800},
                {"name": "booking", "match": {"method": "POST", "pathPrefix": "/bookings"},
                 "weight": 3, "deadlineSeconds": 5, "idempotent": false}, // a booth is booked once
                {"name": "reading", "match": {"method": "GET"}, "weight": 1, "deadlineSeconds": 5},
              ],
              "engines": [
                {"name": "drafter-1", "dataCentre": "almaty-1", "checksFencingNumbers": true},
                {"name": "drafter-2", "dataCentre": "almaty-2"},
              ],
              "plainServices": [{"name": "desk-1", "dataCentre": "almaty-1"}],
            }
            """.formatted(HASH);

    private DocumentTexts() {}

    static ServiceDocument drafting() {
        return new DocumentChecker(new UnknownFleetView())
                .check("drafting.json", DRAFTING)
                .located()
                .orElseThrow()
                .document();
    }
}
