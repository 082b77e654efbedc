package org.aspenmoor.internal.gateway.membership;

import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/** Decodes stored objects that other processes have written; implemented by an adapter. */
public interface RegistrationDecoder {
    /** Decodes a configuration. */
    ServingConfiguration readConfiguration(StoredObject object) throws StoreMalformedException;

    /** Decodes the registration of a backend server. */
    BackendServer readServer(StoredObject object) throws StoreMalformedException;
}
