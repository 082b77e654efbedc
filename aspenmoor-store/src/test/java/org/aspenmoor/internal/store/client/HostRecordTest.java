package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.Test;

public class HostRecordTest {
    @Test
    public void should_read_host_when_it_is_valid() throws StoreMalformedException {
        assertEquals(
                HostRecord.read(host("leaving")), new HostRecord("host-7", "almaty-1", "127.0.0.1", HostState.LEAVING));
    }

    @Test
    public void should_reject_host_when_state_is_unknown() {
        assertThrows(StoreMalformedException.class, () -> HostRecord.read(host("asleep")));
    }

    private static StoredObject host(String state) {
        String value = "{\"name\":\"host-7\",\"dataCentre\":\"almaty-1\",\"address\":\"127.0.0.1\",\"state\":\"" + state
                + "\"}";
        return new StoredObject(new ObjectKey(ObjectKind.HOST, ObjectKey.PLATFORM_NAMESPACE, "host-7"), "1", value);
    }
}
