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
     * The version of a model changes.
     *
     * @param model the name of the model
     * @param before the previous version
     * @param after the new version
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
     * The version of an adapter changes.
     *
     * @param model the model it belongs to
     * @param adapter the name of the adapter
     * @param before the previous version
     * @param after the new version
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
     * The declaration of a kind of request changes.
     *
     * @param kind the name of the kind
     * @param fields the changed fields
     */
    record KindChanged(String kind, List<FieldChange> fields) implements DocumentChange {
        public KindChanged {
            fields = List.copyOf(fields);
        }
    }

    /**
     * The order in which kinds are matched changes.
     *
     * @param order the names in the new order
     */
    record KindsReordered(List<String> order) implements DocumentChange {
        public KindsReordered {
            order = List.copyOf(order);
        }
    }

    /**
     * The price of a role change changes.
     *
     * @param before the previous price
     * @param after the new price
     */
    record RoleChangePriceChanged(double before, double after) implements DocumentChange {}

    /**
     * The set of authorised caller tokens changes.
     *
     * @param added the number of added hashes
     * @param removed the number of removed hashes
     */
    record CallerTokensChanged(int added, int removed) implements DocumentChange {}

    /**
     * A backend server is added to the service.
     *
     * @param backend the backend server
     */
    record BackendAdded(BackendDeclaration backend) implements DocumentChange {}

    /**
     * A backend server is withdrawn from the service.
     *
     * @param backend the backend server
     */
    record BackendWithdrawn(BackendDeclaration backend) implements DocumentChange {}

    /**
     * The declaration of a backend server changes.
     *
     * @param before the previous declaration
     * @param after the new declaration
     */
    record BackendRedeclared(BackendDeclaration before, BackendDeclaration after) implements DocumentChange {}

    /** Returns a description of the change in one sentence. */
    default String description() {
        return DocumentChangeDescription.describe(this);
    }

    /** Returns the effect of the change on engines in one sentence; empty if it has none. */
    default Optional<String> engineEffect() {
        return DocumentChangeDescription.engineEffect(this);
    }
}
