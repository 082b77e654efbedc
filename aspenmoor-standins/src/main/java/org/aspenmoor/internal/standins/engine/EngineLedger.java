package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.standins.http.Json;

/** Records every request that ran on this engine and every order that it received. */
final class EngineLedger {
    private static final int MAX_RECORDS = 200_000;

    private final List<RunRecord> runs = new ArrayList<>();
    private final List<OrderRecord> orders = new ArrayList<>();

    synchronized RunRecord recordRun(GenerationCall generation) {
        RunRecord run = new RunRecord(generation);
        if (runs.size() < MAX_RECORDS) {
            runs.add(run);
        }
        return run;
    }

    synchronized void recordOrder(OrderRecord order) {
        if (orders.size() < MAX_RECORDS) {
            orders.add(order);
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
