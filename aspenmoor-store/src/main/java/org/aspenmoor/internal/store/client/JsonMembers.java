package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Map;
import java.util.Optional;

/** The members of a JSON object, each of which is parsed only when it is asked for. */
public final class JsonMembers {
    private final Map<String, JsonSlice> slicesByName;

    JsonMembers(Map<String, JsonSlice> slicesByName) {
        this.slicesByName = slicesByName;
    }

    /** Returns a member without parsing it; empty if the object has none of that name. */
    public Optional<JsonSlice> slice(String name) {
        return Optional.ofNullable(slicesByName.get(name));
    }

    /** Returns a parsed member; a missing node if the object has none of that name, or the parser refuses it. */
    public JsonNode parse(String name) {
        return slice(name).flatMap(JsonSlice::parse).orElseGet(MissingNode::getInstance);
    }
}
