package org.aspenmoor.internal.gateway.quarantine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.serving.quarantine.ServerStart;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/** Turns the ends of servers under one request into an object of the store, which bears the request's digest, and back. */
final class FatalRequestCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ENDS = "ends";
    private static final String SERVER = "server";
    private static final String STARTED_AT = "startedAt";
    private static final String ENDED_AT = "endedAt";
    private static final String EXCUSED = "excused";

    private FatalRequestCodec() {}

    static ObjectKey key(RequestDigest request) {
        return new ObjectKey(ObjectKind.FATAL_REQUEST, ObjectKey.PLATFORM_NAMESPACE, request.text());
    }

    /** Writes ends, with times of day in milliseconds since 1970. */
    static String write(List<ServerEnd> ends, long timeOfDay) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode array = root.putArray(ENDS);
        for (ServerEnd end : ends) {
            array.addObject()
                    .put(SERVER, end.server().server())
                    .put(STARTED_AT, end.server().startedAt())
                    .put(ENDED_AT, timeOfDay - end.age().toMillis())
                    .put(EXCUSED, end.excused());
        }
        return root.toString();
    }

    static List<ServerEnd> read(StoredObject object, long timeOfDay) throws StoreMalformedException {
        String name = object.key().name();
        RequestDigest request = RequestDigest.parse(name)
                .orElseThrow(() -> new StoreMalformedException(
                        "The name is no digest of a request.", object.key().toString(), "Delete the object."));
        List<ServerEnd> ends = new ArrayList<>();
        for (StoredFields end : StoredFields.of(object).objects(ENDS)) {
            ServerStart server = new ServerStart(end.text(SERVER), end.nonNegativeLong(STARTED_AT));
            // Clocks differ by seconds; an end that seems to lie ahead was just now.
            Duration age = Duration.ofMillis(Math.max(0, timeOfDay - end.nonNegativeLong(ENDED_AT)));
            ends.add(new ServerEnd(request, server, age, end.bool(EXCUSED)));
        }
        return ends;
    }
}
