/** Cryptographic digests. */
package org.aspenmoor.internal.digest;
