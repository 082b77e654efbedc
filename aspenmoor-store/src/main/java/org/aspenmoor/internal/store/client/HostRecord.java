package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * One host of the platform's lagging host list.
 *
 * @param name its name
 * @param dataCentre where it stands
 * @param address its IP number
 * @param state what the platform says of it
 */
public record HostRecord(String name, String dataCentre, String address, HostState state) {
    /** Reads a host from its stored object. */
    public static HostRecord read(StoredObject object) throws StoreMalformedException {
        String place = object.key().toString();
        JsonNode spec = ObjectCodec.tree(place, object.value());
        return new HostRecord(
                text(spec, "name", place),
                text(spec, "dataCentre", place),
                text(spec, "address", place),
                state(text(spec, "state", place), place));
    }

    private static String text(JsonNode spec, String field, String place) throws StoreMalformedException {
        String text = spec.path(field).asText();
        if (text.isEmpty()) {
            throw new StoreMalformedException(
                    "The host has no \"" + field + "\".", place, "Have the platform's host list mended.");
        }
        return text;
    }

    private static HostState state(String text, String place) throws StoreMalformedException {
        return switch (text) {
            case "live" -> HostState.LIVE;
            case "leaving" -> HostState.LEAVING;
            default ->
                throw new StoreMalformedException(
                        "The host's state '" + text + "' is not known.", place, "Expected are live and leaving.");
        };
    }
}
