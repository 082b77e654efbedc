package org.aspenmoor.internal.serving;

/**
 * An answer whose events are arriving.
 *
 * @param prompt the prompt that it answers
 * @param events how many events have arrived, at any engine
 * @param secondsLeft time until nobody waits for the answer any more, in seconds
 */
public record AnswerInProgress(Prompt prompt, int events, double secondsLeft) {}
