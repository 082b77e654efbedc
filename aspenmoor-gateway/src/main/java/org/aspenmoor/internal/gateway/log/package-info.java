/** One JSON line for each decision, so that a failed request can be explained afterwards. */
package org.aspenmoor.internal.gateway.log;
