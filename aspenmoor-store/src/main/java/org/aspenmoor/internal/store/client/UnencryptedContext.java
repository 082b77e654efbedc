package org.aspenmoor.internal.store.client;

import java.security.SecureRandom;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * An SSL context without encryption, for a client that makes only plain HTTP calls.
 *
 * <p>By default the JDK's HTTP client initialises TLS when it is created: it reads all trusted certificates and lists
 * all cipher suites. Creating a client takes 314 ms of processor time with this and 118 ms without (two runs each, C1
 * compiler only). A process limited to 0.4 of a core would start half a second later, while its callers wait.
 */
final class UnencryptedContext extends SSLContext {
    UnencryptedContext() {
        super(new NoEncryption(), null, "none");
    }

    private static final class NoEncryption extends SSLContextSpi {
        private static final String REASON = "The store client supports only unencrypted HTTP.";

        @Override
        protected void engineInit(KeyManager[] keys, TrustManager[] trusted, SecureRandom random) {
            // Nothing to initialise.
        }

        @Override
        protected SSLParameters engineGetDefaultSSLParameters() {
            return new SSLParameters(new String[0], new String[0]);
        }

        @Override
        protected SSLParameters engineGetSupportedSSLParameters() {
            return engineGetDefaultSSLParameters();
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            throw new UnsupportedOperationException(REASON);
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            throw new UnsupportedOperationException(REASON);
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            throw new UnsupportedOperationException(REASON);
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            throw new UnsupportedOperationException(REASON);
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            throw new UnsupportedOperationException(REASON);
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            throw new UnsupportedOperationException(REASON);
        }
    }
}
