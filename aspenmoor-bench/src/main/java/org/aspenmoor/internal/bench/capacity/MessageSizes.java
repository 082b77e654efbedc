package org.aspenmoor.internal.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.daemon.dissemination.DisseminationFrames;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DocumentKey;
import org.aspenmoor.internal.dissemination.RevisionSummary;
import org.aspenmoor.internal.dissemination.RevisionTable;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Probe;

/** The length of each frame, as protobuf says it. */
final class MessageSizes {
    private static final long ANY = 0x0123456789abcdefL;

    private MessageSizes() {}

    static Map<String, Integer> all() {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        sizes.put("Dispatch, prompt of 8,192 bytes", Samples.dispatch().getSerializedSize());
        sizes.put("Started", Samples.started().getSerializedSize());
        sizes.put("Chunk, one token of 5 bytes", Samples.chunk(200).getSerializedSize());
        sizes.put("Credit", Samples.credit().getSerializedSize());
        sizes.put("Last", Samples.last().getSerializedSize());
        sizes.put("LoadReport", loadReport());
        sizes.put("RequestCounts, three kinds", requestCounts());
        sizes.put("Probe", probe());
        for (int engines : new int[] {1, 4, 8, 16, 64}) {
            sizes.put(
                    "DocumentUpdate, engines declared: " + engines,
                    Samples.documentUpdate(engines).getSerializedSize());
        }
        sizes.put("DocumentAsk", size(new DisseminationMessage.FetchRequest(key(0), 17)));
        sizes.put("DocumentDigest, compare", size(new DisseminationMessage.Compare(ANY, ANY)));
        sizes.put(
                "DocumentDigest, equal", size(new DisseminationMessage.Equal(ANY, Optional.of(Duration.ofSeconds(3)))));
        sizes.put("DocumentDigest, differs", size(new DisseminationMessage.Differs(ANY, bucketHashes())));
        sizes.put(
                "DocumentDigest, lines of one bucket",
                size(new DisseminationMessage.BucketRevisions(List.of(7), lines())));
        return sizes;
    }

    static int loadReport() {
        return Samples.loadReport(100_000).getSerializedSize();
    }

    static int requestCounts() {
        return Samples.requestCounts().getSerializedSize();
    }

    static int probe() {
        return Frame.newBuilder()
                .setProbe(Probe.newBuilder().setNumber(ANY))
                .build()
                .getSerializedSize();
    }

    private static int size(DisseminationMessage message) {
        return DisseminationFrames.toFrame(message).getSerializedSize();
    }

    private static List<Long> bucketHashes() {
        List<Long> hashes = new ArrayList<>();
        for (int bucket = 0; bucket < RevisionTable.BUCKETS; bucket++) {
            hashes.add(ANY);
        }
        return hashes;
    }

    private static List<RevisionSummary> lines() {
        List<RevisionSummary> lines = new ArrayList<>();
        for (int number = 0; number < Aim.TEAMS / RevisionTable.BUCKETS; number++) {
            lines.add(new RevisionSummary(key(number), 17, ANY));
        }
        return lines;
    }

    private static DocumentKey key(int number) {
        return new DocumentKey("team-" + number, "drafting");
    }
}
