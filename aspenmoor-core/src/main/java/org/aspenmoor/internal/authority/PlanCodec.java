package org.aspenmoor.internal.authority;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/** Converts role plans to and from JSON. */
public final class PlanCodec {
    private PlanCodec() {}

    /** Writes a record. */
    public static String write(PlanRecord plan) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("owner", plan.owner());
        root.put("nonce", plan.nonce());
        root.put("term", plan.version().term());
        root.put("revision", plan.version().revision());
        root.put("leaseMilliseconds", plan.leaseLength().toMillis());
        root.put("expiry", plan.displayedExpiry().toString());
        root.put("resigned", plan.resigned());
        ObjectNode engines = root.putObject("engines");
        plan.sortedEngines().forEach((name, assignment) -> writeAssignment(engines.putObject(name), assignment));
        return root.toString();
    }

    /** Reads a stored record. */
    public static PlanRecord read(StoredObject object) throws StoreMalformedException {
        StoredFields root = StoredFields.of(object);
        Map<String, EngineAssignment> engines = new HashMap<>();
        for (Map.Entry<String, StoredFields> engine :
                root.objectsByName("engines").entrySet()) {
            engines.put(engine.getKey(), readAssignment(engine.getValue()));
        }
        return new PlanRecord(
                root.text("owner"),
                root.text("nonce"),
                new PlanVersion(root.nonNegativeLong("term"), root.nonNegativeLong("revision")),
                Duration.ofMillis(root.nonNegativeLong("leaseMilliseconds")),
                readExpiry(root),
                root.bool("resigned"),
                engines);
    }

    private static void writeAssignment(ObjectNode node, EngineAssignment assignment) {
        node.put("role", assignment.role().name());
        ArrayNode loads = node.putArray("loads");
        for (LoadItem item : assignment.loads()) {
            ObjectNode load = loads.addObject();
            load.put("model", item.model());
            item.adapter().ifPresent(adapter -> load.put("adapter", adapter));
            load.put("version", item.version());
        }
    }

    private static EngineAssignment readAssignment(StoredFields fields) throws StoreMalformedException {
        List<LoadItem> loads = new ArrayList<>();
        for (StoredFields load : fields.objects("loads")) {
            loads.add(new LoadItem(load.text("model"), load.optionalText("adapter"), load.text("version")));
        }
        return new EngineAssignment(fields.enumConstant("role", EngineRole.class), loads);
    }

    private static Instant readExpiry(StoredFields root) throws StoreMalformedException {
        try {
            return Instant.parse(root.text("expiry"));
        } catch (DateTimeParseException notADate) {
            throw root.invalid("expiry", "The text is not an ISO 8601 instant.");
        }
    }
}
