package org.aspenmoor.internal.serving;

/** How much the prompts of a service press on the engines that compute them. */
public enum PromptLoad {
    /** One engine less would compute all prompts as well. */
    EASY,
    /** The engines have enough to do and keep up. */
    USUAL,
    /** More prompts come than are computed. */
    PRESSED
}
