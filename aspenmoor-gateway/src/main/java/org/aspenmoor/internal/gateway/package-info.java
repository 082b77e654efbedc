/** An entry that forwards callers' requests directly to backend servers over HTTP, without an agent in between. */
package org.aspenmoor.internal.gateway;
