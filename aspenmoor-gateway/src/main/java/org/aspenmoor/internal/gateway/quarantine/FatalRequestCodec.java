package org.aspenmoor.internal.gateway.quarantine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/** Converts the server terminations of one request to a stored object, named by the request's digest, and back. */
final class FatalRequestCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TERMINATIONS = "ends";
    private static final String SERVER = "server";
    private static final String STARTED_AT = "startedAt";
    private static final String TERMINATED_AT = "endedAt";
    private static final String CLEARED = "excused";

    private FatalRequestCodec() {}

    static ObjectKey key(SuspectDigest request) {
        return new ObjectKey(ObjectKind.FATAL_REQUEST, ObjectKey.PLATFORM_NAMESPACE, request.hex());
    }

    /** Serialises terminations; times are in milliseconds since 1970. */
    static String serialise(List<ServerTermination> terminations, long timeOfDayMillis) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode array = root.putArray(TERMINATIONS);
        for (ServerTermination termination : terminations) {
            array.addObject()
                    .put(SERVER, termination.incarnation().serverId())
                    .put(STARTED_AT, termination.incarnation().startedAt())
                    .put(TERMINATED_AT, timeOfDayMillis - termination.age().toMillis())
                    .put(CLEARED, termination.cleared());
        }
        return root.toString();
    }

    static List<ServerTermination> parse(StoredObject object, long timeOfDayMillis) throws StoreMalformedException {
        String name = object.key().name();
        SuspectDigest request = SuspectDigest.parse(name)
                .orElseThrow(() -> new StoreMalformedException(
                        "The object's name is not a request digest.",
                        object.key().toString(),
                        "Delete the object."));
        List<ServerTermination> terminations = new ArrayList<>();
        for (StoredFields fields : StoredFields.of(object).objects(TERMINATIONS)) {
            ServerIncarnation incarnation =
                    new ServerIncarnation(fields.text(SERVER), fields.nonNegativeLong(STARTED_AT));
            // Clocks differ by seconds; a termination in the future counts as just now.
            Duration age = Duration.ofMillis(Math.max(0, timeOfDayMillis - fields.nonNegativeLong(TERMINATED_AT)));
            terminations.add(new ServerTermination(request, incarnation, age, fields.bool(CLEARED)));
        }
        return terminations;
    }
}
