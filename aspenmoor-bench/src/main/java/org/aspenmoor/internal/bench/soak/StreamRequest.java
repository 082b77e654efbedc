package org.aspenmoor.internal.bench.soak;

import org.aspenmoor.RequestId;

/**
 * A caller's request for a generated answer; every engine would generate the same one.
 *
 * @param id the request
 * @param tokens how many tokens the whole answer has
 */
record StreamRequest(RequestId id, int tokens) {
    /** Returns one token of the whole answer; it tells position and request. */
    byte token(int position) {
        long mixed = (id.low() + 31L * id.high() + position) * 0x9E3779B97F4A7C15L;
        return (byte) (mixed >>> 40);
    }

    /** Returns tokens of the whole answer. */
    byte[] tokens(int from, int count) {
        byte[] data = new byte[count];
        for (int index = 0; index < count; index++) {
            data[index] = token(from + index);
        }
        return data;
    }
}
