/** HTTP server that all stand-ins use. */
package org.aspenmoor.internal.standins.http;
