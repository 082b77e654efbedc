package org.aspenmoor.internal.standins.load;

import java.util.Optional;

/** One request that the load tool will send. */
sealed interface PlannedRequest {
    /** Returns the kind's name in the team's document. */
    String kind();

    /** Returns what makes the request recognisable in the ledgers. */
    String marker();

    /**
     * A draft.
     *
     * @param kind the kind's name
     * @param mark unique; stands in the prompt
     * @param model the model's name
     * @param adapter the adapter's name; empty for none
     * @param prompt the prompt
     * @param maximum the most tokens asked for
     * @param chat whether it is sent as a chat
     * @param streamed whether the answer is streamed
     */
    record Completion(
            String kind,
            String marker,
            String model,
            String adapter,
            String prompt,
            int maxTokens,
            boolean chat,
            boolean streamed)
            implements PlannedRequest {}

    /**
     * A call that makes an entry.
     *
     * @param kind the kind's name
     * @param mark unique; stands in the body
     * @param service the service's name
     * @param path the path below the service
     * @param body the body
     * @param idempotencyKey the key, if it is sent with one
     */
    record Creation(String kind, String marker, String service, String path, String body, Optional<String> idempotencyKey)
            implements PlannedRequest {}

    /**
     * A keyed call that is sent a second time; it must not run again.
     *
     * @param original the call as it was sent first
     */
    record Repetition(Creation original) implements PlannedRequest {
        @Override
        public String kind() {
            return original.kind() + " again";
        }

        @Override
        public String marker() {
            return original.marker();
        }
    }

    /**
     * A call that reads an entry back.
     *
     * @param kind the kind's name
     * @param mark the identity that is read
     * @param service the service's name
     * @param path the path below the service
     */
    record StatusRead(String kind, String marker, String service, String path) implements PlannedRequest {}
}
