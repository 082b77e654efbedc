package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import javax.net.ssl.SSLContext;
import org.testng.annotations.Test;

public class UnencryptedContextTest {
    // After a power failure all entries restart while their callers wait. A client that first lists cipher suites and
    // reads certificates would delay the start by half a second.
    @Test
    public void should_offer_no_cipher_so_that_none_has_to_be_listed() {
        assertEquals(new UnencryptedContext().getDefaultSSLParameters().getCipherSuites().length, 0);
    }

    @Test
    public void should_refuse_to_encrypt_instead_of_pretending_to() {
        SSLContext context = new UnencryptedContext();

        assertThrows(UnsupportedOperationException.class, context::createSSLEngine);
        assertThrows(UnsupportedOperationException.class, context::getSocketFactory);
    }
}
