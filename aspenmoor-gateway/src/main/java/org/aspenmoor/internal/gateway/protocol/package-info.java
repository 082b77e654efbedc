/** What an entry asks of the words that callers and backend servers use; an adapter implements it. */
package org.aspenmoor.internal.gateway.protocol;
