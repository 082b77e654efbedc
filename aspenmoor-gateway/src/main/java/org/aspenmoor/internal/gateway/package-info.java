/** An entry that hands callers' requests to backend servers itself, over HTTP, without an agent on the way. */
package org.aspenmoor.internal.gateway;
