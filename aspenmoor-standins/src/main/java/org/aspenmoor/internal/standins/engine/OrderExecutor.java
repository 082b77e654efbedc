package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.engine.OrderState;

/** Executes orders one at a time; an order that arrives while another one runs is refused. */
final class OrderExecutor {
    /** Loading and unloading take the duration of a role change divided by this. */
    private static final long LOAD_DIVISOR = 4;

    private final EngineSettings settings;
    private final EngineFaults faults;
    private final EngineLedger ledger;
    private final Set<String> loaded = new TreeSet<>();
    private EngineRole role;
    private long highestFencingNumber;
    private Optional<String> lastOrderId = Optional.empty();
    private OrderState lastOrderState = OrderState.NEVER_SEEN;
    private boolean changingRole;

    OrderExecutor(EngineSettings settings, EngineFaults faults, EngineLedger ledger) {
        this.settings = settings;
        this.faults = faults;
        this.ledger = ledger;
        this.role = settings.role();
        loaded.addAll(settings.loaded());
    }

    /** Starts an order; returns the reason if it is refused. */
    synchronized Optional<String> begin(ObjectNode order) {
        Optional<String> refusal = refusal(order);
        ledger.recordOrder(new OrderRecord(
                order.path("orderId").asText(),
                order.path("fencingNumber").asLong(),
                order.path("type").asText(),
                refusal.orElse("begun")));
        if (refusal.isPresent()) {
            return refusal;
        }
        if (!settings.ignoresFencing()) {
            highestFencingNumber = order.path("fencingNumber").asLong();
        }
        lastOrderId = Optional.of(order.path("orderId").asText());
        lastOrderState = OrderState.RUNNING;
        changingRole = order.path("type").asText().equals("changeRole");
        Thread.ofPlatform().daemon().name("engine-order").start(() -> execute(order));
        return Optional.empty();
    }

    synchronized boolean isChangingRole() {
        return changingRole;
    }

    synchronized EngineRole role() {
        return role;
    }

    /** Writes the role, the last order, the fencing number and the loaded models into a status response. */
    synchronized void writeStatus(ObjectNode root, Optional<String> queriedOrderId) {
        boolean known = queriedOrderId.isEmpty() || queriedOrderId.equals(lastOrderId);
        root.put("role", role.name());
        root.put("ready", !changingRole);
        root.put("lastOrderId", lastOrderId.orElse(null));
        root.put("lastOrderState", known ? lastOrderState.name() : OrderState.NEVER_SEEN.name());
        root.put("highestFencingNumber", highestFencingNumber);
        loaded.forEach(root.putArray("loaded")::add);
    }

    private Optional<String> refusal(ObjectNode order) {
        if (order.path("orderId").asText().isEmpty()) {
            return Optional.of("The order lacks the field orderId.");
        }
        if (!settings.ignoresFencing() && order.path("fencingNumber").asLong() < highestFencingNumber) {
            return Optional.of("The fencing number is lower than the highest one seen, " + highestFencingNumber + ".");
        }
        if (lastOrderState == OrderState.RUNNING) {
            return Optional.of("The engine is executing another order.");
        }
        boolean knownType = switch (order.path("type").asText()) {
            case "changeRole", "loadModel", "loadAdapter", "unloadAdapter" -> true;
            default -> false;
        };
        return knownType ? Optional.empty() : Optional.of("The type of the order is unknown.");
    }

    private void execute(ObjectNode order) {
        boolean shouldFail = faults.shouldFailOrder();
        long durationMilliseconds = order.path("type").asText().equals("changeRole")
                ? settings.roleChangeMilliseconds()
                : settings.roleChangeMilliseconds() / LOAD_DIVISOR;
        LockSupport.parkNanos(
                TimeUnit.MILLISECONDS.toNanos(shouldFail ? durationMilliseconds / 2 : durationMilliseconds));
        finish(order, shouldFail);
    }

    private synchronized void finish(ObjectNode order, boolean failed) {
        changingRole = false;
        if (failed) {
            lastOrderState = OrderState.FAILED;
            return;
        }
        apply(order);
        lastOrderState = OrderState.DONE;
    }

    private void apply(ObjectNode order) {
        String model = order.path("model").asText();
        String adapter = model + ":" + order.path("adapter").asText();
        String version = "@" + order.path("version").asText();
        switch (order.path("type").asText()) {
            case "changeRole" ->
                role = EngineRole.valueOf(order.path("role").asText().toUpperCase(Locale.ROOT));
            case "loadModel" -> replaceLoaded(model, version);
            case "loadAdapter" -> replaceLoaded(adapter, version);
            case "unloadAdapter" -> loaded.removeIf(entry -> entry.startsWith(adapter + "@"));
            default -> throw new IllegalStateException("Started an order of unknown type.");
        }
    }

    private void replaceLoaded(String name, String version) {
        loaded.removeIf(entry -> entry.startsWith(name + "@"));
        loaded.add(name + version);
    }
}
