package org.aspenmoor.internal.gateway.membership;

import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/** Reads what others wrote into the store; an adapter implements it. */
public interface RegistrationDecoder {
    /** Reads a configuration. */
    ServingConfiguration readConfiguration(StoredObject object) throws StoreMalformedException;

    /** Reads a backend server's registration. */
    BackendServer readServer(StoredObject object) throws StoreMalformedException;
}
