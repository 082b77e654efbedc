package org.aspenmoor.internal.store;

/** The kinds of object that aspenmoor reads or writes in the store; each is one resource of the object API. */
public enum ObjectKind {
    /** A team's document for one service; named {@code SERVICE} within the team's namespace. */
    DOCUMENT("servicedocuments"),
    /** An earlier revision of a document; named {@code SERVICE.REVISION}. */
    DOCUMENT_REVISION("servicedocumentrevisions"),
    /** Role plan and lease of one service in one data centre; named {@code SERVICE.DATACENTRE}. */
    ROLE_PLAN("roleplans"),
    /** Order lease and last order of one engine; named after the backend server. */
    ENGINE_RECORD("enginerecords"),
    /** The address at which the agent of a backend server listens; named after the backend server. */
    AGENT_REGISTRATION("agentregistrations"),
    /** A bucket of idempotency claims for requests that run at most once. */
    CLAIM_BUCKET("claimbuckets"),
    /** A host in the platform's host list, which aspenmoor only reads. */
    HOST("hosts"),
    /** The operator's configuration of the services, for entries that serve callers themselves; read-only for them. */
    SERVING_CONFIGURATION("servingconfigurations"),
    /** The registration that a backend server writes about itself; entries only read it. */
    BACKEND_SERVER("backendservers"),
    /** The registration of an entry that serves callers itself; named after its process. */
    ENTRY_REGISTRATION("entryregistrations"),
    /** The order lease: its holder may give orders to engines, under the recorded fencing number. */
    ORDER_RIGHT("orderrights"),
    /** The servers that terminated while they ran one request; named after the digest of the request. */
    FATAL_REQUEST("fatalrequests"),
    /** What began streams while several software versions serve; named after the entry that writes it. */
    STREAM_RECORD("streamrecords");

    private final String resource;

    ObjectKind(String resource) {
        this.resource = resource;
    }

    /** Returns the plural resource name in the paths of the object API. */
    public String resource() {
        return resource;
    }
}
