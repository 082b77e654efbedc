package org.aspenmoor.internal.bench.capacity;

/** Bytes and messages that one process sent and received. */
final class ByteCounter {
    private long bytes;
    private long messages;
    private long second = -1;
    private long inThisSecond;
    private long mostInOneSecond;

    void count(double now, int size) {
        bytes += size;
        messages++;
        if ((long) now != second) {
            second = (long) now;
            inThisSecond = 0;
        }
        inThisSecond += size;
        mostInOneSecond = Math.max(mostInOneSecond, inThisSecond);
    }

    long bytes() {
        return bytes;
    }

    long messages() {
        return messages;
    }

    long mostInOneSecond() {
        return mostInOneSecond;
    }
}
