package org.aspenmoor;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** The 128-bit id of a caller's request; it is the same for all attempts of the request. */
public record RequestId(long high, long low) {
    private static final int HEX_DIGITS = 32;
    private static final int HEX_DIGITS_OF_HALF = 16;
    private static final int HEX_RADIX = 16;

    /** Creates a new id from the given random source. */
    public static RequestId draw(RandomGenerator random) {
        return new RequestId(random.nextLong(), random.nextLong());
    }

    /** Parses the 32 hexadecimal digits that {@link #toString} returns; empty if the text is anything else. */
    public static Optional<RequestId> parse(String text) {
        if (text.length() != HEX_DIGITS) {
            return Optional.empty();
        }
        try {
            long high = Long.parseUnsignedLong(text.substring(0, HEX_DIGITS_OF_HALF), HEX_RADIX);
            long low = Long.parseUnsignedLong(text.substring(HEX_DIGITS_OF_HALF), HEX_RADIX);
            return Optional.of(new RequestId(high, low));
        } catch (NumberFormatException invalid) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
