package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;

/** One difference between two documents of a service. */
public sealed interface DocumentChange {
    /**
     * A model is declared for the first time.
     *
     * @param model the model
     */
    record ModelAdded(ModelDeclaration model) implements DocumentChange {}

    /**
     * A model is no longer declared.
     *
     * @param model the model
     */
    record ModelRemoved(ModelDeclaration model) implements DocumentChange {}

    /**
     * A model shall run in another version.
     *
     * @param model the model's name
     * @param before the version so far
     * @param after the version from now on
     */
    record ModelVersionChanged(String model, String before, String after) implements DocumentChange {}

    /**
     * An adapter is declared for the first time.
     *
     * @param model the model it belongs to
     * @param adapter the adapter
     */
    record AdapterAdded(String model, AdapterDeclaration adapter) implements DocumentChange {}

    /**
     * An adapter is no longer declared.
     *
     * @param model the model it belongs to
     * @param adapter the adapter
     */
    record AdapterRemoved(String model, AdapterDeclaration adapter) implements DocumentChange {}

    /**
     * An adapter shall run in another version.
     *
     * @param model the model it belongs to
     * @param adapter the adapter's name
     * @param before the version so far
     * @param after the version from now on
     */
    record AdapterVersionChanged(String model, String adapter, String before, String after) implements DocumentChange {}

    /**
     * A kind of request is declared for the first time.
     *
     * @param kind the kind
     */
    record KindAdded(RequestKind kind) implements DocumentChange {}

    /**
     * A kind of request is no longer declared.
     *
     * @param kind the kind
     */
    record KindRemoved(RequestKind kind) implements DocumentChange {}

    /**
     * A kind of request is declared otherwise.
     *
     * @param kind the kind's name
     * @param fields what differs
     */
    record KindChanged(String kind, List<FieldChange> fields) implements DocumentChange {
        public KindChanged {
            fields = List.copyOf(fields);
        }
    }

    /**
     * Kinds are matched in another order.
     *
     * @param order the names in their new order
     */
    record KindsReordered(List<String> order) implements DocumentChange {
        public KindsReordered {
            order = List.copyOf(order);
        }
    }

    /**
     * A role change has another price.
     *
     * @param before the price so far
     * @param after the price from now on
     */
    record RoleChangePriceChanged(double before, double after) implements DocumentChange {}

    /**
     * Other tokens may call.
     *
     * @param added how many hashes came
     * @param removed how many hashes went
     */
    record CallerTokensChanged(int added, int removed) implements DocumentChange {}

    /**
     * A backend server joins the service.
     *
     * @param backend the backend server
     */
    record BackendAdded(BackendDeclaration backend) implements DocumentChange {}

    /**
     * A backend server leaves the service.
     *
     * @param backend the backend server
     */
    record BackendWithdrawn(BackendDeclaration backend) implements DocumentChange {}

    /**
     * A backend server is declared otherwise.
     *
     * @param before as it was declared so far
     * @param after as it is declared from now on
     */
    record BackendRedeclared(BackendDeclaration before, BackendDeclaration after) implements DocumentChange {}

    /** Returns what changes, as one sentence. */
    default String description() {
        return DocumentChangeDescription.describe(this);
    }

    /** Returns what the change does to engines, as one sentence; empty where it touches none. */
    default Optional<String> engineEffect() {
        return DocumentChangeDescription.engineEffect(this);
    }
}
