/** The decision log: one JSON line per decision, so that a failed request can be explained afterwards. */
package org.aspenmoor.internal.gateway.log;
