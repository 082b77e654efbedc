package org.aspenmoor.internal.routing;

import java.util.Optional;
import org.aspenmoor.RequestId;

/**
 * The properties of a request that routing depends on.
 *
 * @param id the request
 * @param model the model and version, in the form {@code MODEL@VERSION} that engines use
 * @param adapter the adapter, in the form {@code MODEL:ADAPTER@VERSION} that engines use; empty if none is needed
 * @param promptTokens length of the prompt
 * @param prefix the prefix of the prompt that other prompts may share
 * @param expectedOutputTokens expected length of the answer
 * @param weight value of the completed request; requests with a greater weight go first
 * @param deadlineNanoseconds the time by which the answer must be complete, on the monotonic clock
 * @param dataCentre the data centre of the entry that received the request
 */
public record RoutingRequest(
        RequestId id,
        String model,
        Optional<String> adapter,
        int promptTokens,
        PrefixChain prefix,
        int expectedOutputTokens,
        double weight,
        long deadlineNanoseconds,
        String dataCentre) {}
