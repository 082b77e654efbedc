package org.aspenmoor.internal.dissemination;

/**
 * A 64-bit hash that is the same in every process and every version of the runtime: FNV-1a over the UTF-16 code units,
 * followed by the finalizer of SplitMix64.
 */
public final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;
    private static final int MIX_SHIFT_1 = 30;
    private static final int MIX_SHIFT_2 = 27;
    private static final int MIX_SHIFT_3 = 31;

    private StableHash() {}

    /** Hashes a text. */
    public static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Hashes two texts; the result depends on their order. */
    public static long of(String first, String second) {
        return combine(of(first), of(second));
    }

    /** Combines a hash with a number; the result depends on their order. */
    public static long combine(long hash, long number) {
        return mix(mix(hash) * FNV_PRIME + number);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> MIX_SHIFT_1)) * MIX_MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT_2)) * MIX_MULTIPLIER_2;
        return mixed ^ (mixed >>> MIX_SHIFT_3);
    }
}
