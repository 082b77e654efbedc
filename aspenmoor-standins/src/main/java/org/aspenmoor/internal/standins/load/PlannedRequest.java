package org.aspenmoor.internal.standins.load;

import java.util.Optional;

/** A request that the load tool sends. */
sealed interface PlannedRequest {
    /** Returns the kind's name in the team's document. */
    String kind();

    /** Returns the unique text of the request, or the id that it reads. */
    String marker();

    /**
     * A completion request to a model.
     *
     * @param kind the kind's name
     * @param marker unique text, part of the prompt
     * @param model the model's name
     * @param adapter the adapter's name; empty if none is requested
     * @param prompt the prompt
     * @param maxTokens maximum number of tokens of the answer
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
     * A service call that creates a record.
     *
     * @param kind the kind's name
     * @param marker unique text, part of the body
     * @param service the service's name
     * @param path the path below the service
     * @param body the body
     * @param idempotencyKey the idempotency key; empty if the call has none
     */
    record Creation(
            String kind, String marker, String service, String path, String body, Optional<String> idempotencyKey)
            implements PlannedRequest {}

    /**
     * A call that is sent a second time with the same idempotency key; it must not run again.
     *
     * @param original the first call
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
     * A call that reads the state of a record.
     *
     * @param kind the kind's name
     * @param marker the id of the record
     * @param service the service's name
     * @param path the path below the service
     */
    record StatusRead(String kind, String marker, String service, String path) implements PlannedRequest {}
}
