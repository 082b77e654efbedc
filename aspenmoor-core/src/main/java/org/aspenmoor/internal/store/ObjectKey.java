package org.aspenmoor.internal.store;

/**
 * Identifies one object in the store.
 *
 * @param kind the kind of object
 * @param namespace the team that owns the object, or {@link #PLATFORM_NAMESPACE}
 * @param name unique among the objects of the kind in the namespace
 */
public record ObjectKey(ObjectKind kind, String namespace, String name) {
    /** The namespace of objects that belong to no team. */
    public static final String PLATFORM_NAMESPACE = "platform";

    @Override
    public String toString() {
        return kind.resource() + "/" + namespace + "/" + name;
    }
}
