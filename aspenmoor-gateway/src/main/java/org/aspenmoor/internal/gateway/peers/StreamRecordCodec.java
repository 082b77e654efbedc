package org.aspenmoor.internal.gateway.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.StreamRecord;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Converts an entry's record of streams to a stored object and back. The keys of the streams of one origin stand together.
 */
final class StreamRecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String WRITTEN_AT = "writtenAt";
    private static final String ORIGINS = "origins";
    private static final String KEYS = "keys";

    private StreamRecordCodec() {}

    static String serialise(List<KnownStream> streams, Instant writtenAt) {
        Map<StreamOrigin, ByteArrayOutputStream> keys = new LinkedHashMap<>();
        streams.forEach(known -> keys.computeIfAbsent(known.origin(), unseen -> new ByteArrayOutputStream())
                .writeBytes(known.stream().bytes()));
        ObjectNode root = MAPPER.createObjectNode().put(WRITTEN_AT, writtenAt.toEpochMilli());
        ArrayNode origins = root.putArray(ORIGINS);
        keys.forEach((origin, bytes) ->
                StreamOriginJson.write(origins.addObject(), origin).put(KEYS, bytes.toByteArray()));
        return root.toString();
    }

    /** Parses a record; empty if it cannot be read, which is as if it had not been written. */
    static Optional<StreamRecord> parse(StoredObject object, Instant now) {
        try {
            JsonNode root = MAPPER.readTree(object.value());
            List<KnownStream> streams = new ArrayList<>();
            for (JsonNode origin : root.path(ORIGINS)) {
                streams.addAll(parseStreams(origin));
            }
            Instant writtenAt = Instant.ofEpochMilli(root.path(WRITTEN_AT).asLong(0));
            return Optional.of(new StreamRecord(streams, Duration.between(writtenAt, now)));
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    private static List<KnownStream> parseStreams(JsonNode node) throws IOException {
        StreamOrigin origin = StreamOriginJson.read(node);
        byte[] keys = node.path(KEYS).binaryValue();
        if (keys == null) {
            return List.of();
        }
        List<KnownStream> streams = new ArrayList<>();
        for (int start = 0; start < keys.length; start += StreamKey.BYTES) {
            byte[] key = Arrays.copyOfRange(keys, start, Math.min(keys.length, start + StreamKey.BYTES));
            StreamKey.parse(key).ifPresent(parsed -> streams.add(new KnownStream(parsed, origin)));
        }
        return streams;
    }
}
