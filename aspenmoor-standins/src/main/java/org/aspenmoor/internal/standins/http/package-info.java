/** The small HTTP server that all stand-ins share. */
package org.aspenmoor.internal.standins.http;
