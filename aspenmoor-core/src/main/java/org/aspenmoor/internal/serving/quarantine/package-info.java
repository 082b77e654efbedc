/** Which requests end the servers that run them, and how they are kept from further servers. */
package org.aspenmoor.internal.serving.quarantine;
