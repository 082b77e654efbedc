package org.aspenmoor.internal.standins.engine;

import java.util.List;

/**
 * The text that engine stand-ins generate: each token is a function of model, adapter, prompt and index, so that any
 * caller can check whether an answer is complete and correct.
 */
public final class DeterministicText {
    private static final List<String> WORDS = List.of(
            "amber", "basin", "cedar", "delta", "ember", "fjord", "gravel", "harbour", "indigo", "juniper", "kelp",
            "lantern", "meadow", "nickel", "orchard", "pebble", "quartz", "river", "saffron", "timber", "umber",
            "valley", "willow", "xenon", "yarrow", "zinc");
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int MIN_TOKENS = 20;
    private static final int TOKEN_COUNT_RANGE = 180;
    private static final int NUMBER_RANGE = 1000;

    private DeterministicText() {}

    /** Returns one token: a space, a word and a number that makes adjacent tokens differ. */
    public static String token(String model, String adapter, String prompt, int index) {
        return token(hash(model, adapter, prompt), index);
    }

    /** Returns the number of tokens of the complete answer, at most {@code maxTokens}. */
    public static int tokens(String prompt, int maxTokens) {
        return Math.min(maxTokens, unlimitedTokens(prompt));
    }

    /** Returns the number of tokens of the answer to a request without a maximum. */
    public static int unlimitedTokens(String prompt) {
        return MIN_TOKENS + (int) Long.remainderUnsigned(mix(hash(prompt)), TOKEN_COUNT_RANGE);
    }

    /** Returns the tokens from index {@code from} (inclusive) to {@code to} (exclusive), concatenated. */
    public static String text(String model, String adapter, String prompt, int from, int to) {
        long seed = hash(model, adapter, prompt);
        StringBuilder text = new StringBuilder();
        for (int index = from; index < to; index++) {
            text.append(token(seed, index));
        }
        return text.toString();
    }

    private static String token(long seed, int index) {
        long value = mix(seed + index * 0x9e3779b97f4a7c15L);
        String word = WORDS.get((int) Long.remainderUnsigned(value, WORDS.size()));
        return " " + word + Long.remainderUnsigned(value >>> 8, NUMBER_RANGE);
    }

    private static long hash(String... parts) {
        long hash = OFFSET_BASIS;
        for (String part : parts) {
            for (int index = 0; index < part.length(); index++) {
                hash = (hash ^ part.charAt(index)) * PRIME;
            }
            hash = (hash ^ '|') * PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
