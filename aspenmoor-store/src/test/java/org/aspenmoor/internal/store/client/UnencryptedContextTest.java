package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import javax.net.ssl.SSLContext;
import org.testng.annotations.Test;

public class UnencryptedContextTest {
    // After a power failure all entries restart while their callers wait. A client that first lists cipher suites and
    // reads certificates would delay the start by half a second.
    @Test
    public void should_list_no_cipher_suites_when_default_parameters_are_requested() {
        assertEquals(new UnencryptedContext().getDefaultSSLParameters().getCipherSuites().length, 0);
    }

    @Test
    public void should_throw_when_encryption_is_requested() {
        SSLContext context = new UnencryptedContext();

        assertThrows(UnsupportedOperationException.class, context::createSSLEngine);
        assertThrows(UnsupportedOperationException.class, context::getSocketFactory);
    }
}
