package org.aspenmoor.internal.entry;

import java.util.Optional;
import org.aspenmoor.internal.routing.PrefixChain;

/**
 * A completion as a caller asked for it.
 *
 * @param model the model's name
 * @param adapter the adapter's name, from {@code MODEL:ADAPTER}
 * @param chat whether it came by the chat form of the protocol
 * @param stream whether the caller wants the answer piece by piece
 * @param maxTokens the most tokens the caller wants, if it said so
 * @param promptTokens estimated length of the prompt
 * @param prefix the start of the prompt that other prompts may share
 * @param json the request as the caller wrote it
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
