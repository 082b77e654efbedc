package org.aspenmoor.internal.stream;

import java.util.zip.CRC32C;

/** The sending side of {@link AnswerAssembly}: numbers the chunks of one attempt and sums them up for its last frame. */
public final class AttemptChecksum {
    private final CRC32C checksum = new CRC32C();
    private int count;

    /** Takes the next chunk in and returns its sequence number. */
    public int add(byte[] data) {
        checksum.update(data, 0, data.length);
        int sequence = count;
        count++;
        return sequence;
    }

    /** Returns how many chunks there were. */
    public int count() {
        return count;
    }

    /** Returns the CRC32C over the data of all chunks. */
    public int value() {
        return (int) checksum.getValue();
    }
}
