package org.aspenmoor.internal.entry;

import java.util.Optional;
import org.aspenmoor.internal.routing.PrefixChain;

/**
 * A completion requested by a caller.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter, from {@code MODEL:ADAPTER}
 * @param chat whether the request uses the chat form of the protocol
 * @param stream whether the answer is to be streamed
 * @param maxTokens the maximum number of tokens requested by the caller, if given
 * @param promptTokens the estimated length of the prompt in tokens
 * @param prefix the prefix of the prompt that other prompts may share
 * @param json the request body as received
 */
public record CompletionRequest(
        String model,
        Optional<String> adapter,
        boolean chat,
        boolean stream,
        Optional<Integer> maxTokens,
        int promptTokens,
        PrefixChain prefix,
        byte[] json) {}
