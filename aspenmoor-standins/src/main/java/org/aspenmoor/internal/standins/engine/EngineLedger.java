package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.standins.http.Json;

/** Records every request that really ran and every order that came. */
final class EngineLedger {
    private static final int MOST_ENTRIES = 200_000;

    private final List<RunEntry> runs = new ArrayList<>();
    private final List<OrderEntry> orders = new ArrayList<>();

    synchronized RunEntry begin(GenerationCall generation) {
        RunEntry entry = new RunEntry(generation);
        if (runs.size() < MOST_ENTRIES) {
            runs.add(entry);
        }
        return entry;
    }

    synchronized void order(OrderEntry entry) {
        if (orders.size() < MOST_ENTRIES) {
            orders.add(entry);
        }
    }

    synchronized ObjectNode toJson() {
        ObjectNode root = Json.object();
        ArrayNode requests = root.putArray("requests");
        runs.forEach(run -> requests.add(run.toJson()));
        ArrayNode orderList = root.putArray("orders");
        orders.forEach(order -> orderList.add(order.toJson()));
        return root;
    }
}
