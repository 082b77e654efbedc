package org.aspenmoor.internal.dissemination;

/** A 64-bit hash that is the same in every process and every version of the runtime. */
public final class StableHash {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;
    private static final int FIRST_SHIFT = 30;
    private static final int SECOND_SHIFT = 27;
    private static final int THIRD_SHIFT = 31;

    private StableHash() {}

    /** Hashes a text. */
    public static long of(String text) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return mix(hash);
    }

    /** Hashes two texts; the result depends on their order. */
    public static long of(String first, String second) {
        return combine(of(first), of(second));
    }

    /** Combines a hash with a number; the result depends on their order. */
    public static long combine(long hash, long number) {
        return mix(mix(hash) * PRIME + number);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> FIRST_SHIFT)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SECOND_SHIFT)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> THIRD_SHIFT);
    }
}
