package org.aspenmoor.internal.serving;

/** How much the prompts of a service load the engines that compute them. */
public enum PromptLoad {
    /** One engine fewer would be enough to compute all prompts. */
    EASY,
    /** The engines are busy and keep up. */
    USUAL,
    /** More prompts arrive than are computed. */
    PRESSED
}
