package org.aspenmoor.internal.authority;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/** Converts engine records to and from JSON. */
public final class EngineRecordCodec {
    private static final String CHANGE_ROLE = "changeRole";
    private static final String LOAD_MODEL = "loadModel";
    private static final String LOAD_ADAPTER = "loadAdapter";
    private static final String UNLOAD_ADAPTER = "unloadAdapter";

    private EngineRecordCodec() {}

    /** Writes a record. */
    public static String write(EngineRecord record) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("owner", record.owner());
        root.put("slotTerm", record.slotTerm());
        root.put("nonce", record.nonce());
        root.put("planTerm", record.planVersion().term());
        root.put("planRevision", record.planVersion().revision());
        root.put("highestAbandoned", record.highestAbandoned());
        record.lastOrder().ifPresent(order -> writeOrder(root.putObject("lastOrder"), order));
        return root.toString();
    }

    /** Reads a stored record. */
    public static EngineRecord read(StoredObject object) throws StoreMalformedException {
        StoredFields root = StoredFields.of(object);
        Optional<StoredFields> order = root.optionalObject("lastOrder");
        return new EngineRecord(
                root.text("owner"),
                root.nonNegativeLong("slotTerm"),
                root.text("nonce"),
                new PlanVersion(root.nonNegativeLong("planTerm"), root.nonNegativeLong("planRevision")),
                order.isEmpty() ? Optional.empty() : Optional.of(readOrder(order.get())),
                root.nonNegativeLong("highestAbandoned"));
    }

    private static void writeOrder(ObjectNode node, RecordedOrder recorded) {
        node.put("id", recorded.id());
        node.put("fencingNumber", recorded.fencingNumber());
        node.put("state", recorded.state().name());
        switch (recorded.order()) {
            case EngineOrder.ChangeRole change ->
                node.put("type", CHANGE_ROLE).put("role", change.role().name());
            case EngineOrder.LoadModel load ->
                node.put("type", LOAD_MODEL).put("model", load.model()).put("version", load.version());
            case EngineOrder.LoadAdapter load ->
                node.put("type", LOAD_ADAPTER)
                        .put("model", load.model())
                        .put("adapter", load.adapter())
                        .put("version", load.version());
            case EngineOrder.UnloadAdapter unload ->
                node.put("type", UNLOAD_ADAPTER).put("model", unload.model()).put("adapter", unload.adapter());
        }
    }

    private static RecordedOrder readOrder(StoredFields fields) throws StoreMalformedException {
        return new RecordedOrder(
                fields.text("id"),
                fields.nonNegativeLong("fencingNumber"),
                readEngineOrder(fields),
                fields.enumConstant("state", RecordedOrderState.class));
    }

    private static EngineOrder readEngineOrder(StoredFields fields) throws StoreMalformedException {
        return switch (fields.text("type")) {
            case CHANGE_ROLE -> new EngineOrder.ChangeRole(fields.enumConstant("role", EngineRole.class));
            case LOAD_MODEL -> new EngineOrder.LoadModel(fields.text("model"), fields.text("version"));
            case LOAD_ADAPTER ->
                new EngineOrder.LoadAdapter(fields.text("model"), fields.text("adapter"), fields.text("version"));
            case UNLOAD_ADAPTER -> new EngineOrder.UnloadAdapter(fields.text("model"), fields.text("adapter"));
            default -> throw fields.invalid("type", "The order type is not supported.");
        };
    }
}
