package org.aspenmoor.internal.stream;

import java.util.zip.CRC32C;

/**
 * The sending side of {@link AnswerAssembler}: numbers the chunks of one attempt and computes the count and checksum
 * for its last frame.
 */
public final class AttemptChecksum {
    private final CRC32C checksum = new CRC32C();
    private int count;

    /** Adds the next chunk and returns its sequence number, starting at 0. */
    public int add(byte[] data) {
        checksum.update(data, 0, data.length);
        int sequence = count;
        count++;
        return sequence;
    }

    /** Returns the number of chunks added. */
    public int count() {
        return count;
    }

    /** Returns the CRC32C over the data of all chunks. */
    public int value() {
        return (int) checksum.getValue();
    }
}
