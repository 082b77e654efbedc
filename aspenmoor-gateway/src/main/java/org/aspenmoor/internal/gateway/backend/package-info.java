/** Connections to backend servers. */
package org.aspenmoor.internal.gateway.backend;
