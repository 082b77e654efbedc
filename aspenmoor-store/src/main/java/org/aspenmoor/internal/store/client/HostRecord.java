package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * One host of the platform's host list, which may be out of date.
 *
 * @param name the host name
 * @param dataCentre the data centre of the host
 * @param address the IP address
 * @param state the state that the platform reports
 */
public record HostRecord(String name, String dataCentre, String address, HostState state) {
    /** Parses a stored host object. */
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
                    "The host has no \"" + field + "\".", place, "Have the platform's host list corrected.");
        }
        return text;
    }

    private static HostState state(String text, String place) throws StoreMalformedException {
        return switch (text) {
            case "live" -> HostState.LIVE;
            case "leaving" -> HostState.LEAVING;
            default ->
                throw new StoreMalformedException(
                        "The host's state '" + text + "' is not supported.", place, "Expected is live or leaving.");
        };
    }
}
