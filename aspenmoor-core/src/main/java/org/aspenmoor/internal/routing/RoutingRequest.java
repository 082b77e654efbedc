package org.aspenmoor.internal.routing;

import java.util.Optional;
import org.aspenmoor.RequestId;

/**
 * What the router needs to know of a request.
 *
 * @param id the request
 * @param model the model and version as engines name them, {@code MODEL@VERSION}
 * @param adapter the adapter as engines name it, {@code MODEL:ADAPTER@VERSION}
 * @param promptTokens the length of the prompt
 * @param prefix the part of the prompt that other prompts may share
 * @param expectedOutputTokens the expected length of the answer
 * @param weight how much the request counts once completed
 * @param deadlineNanoseconds when the whole answer stops being useful, on the monotonic clock
 * @param dataCentre where the caller's entry stands
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
