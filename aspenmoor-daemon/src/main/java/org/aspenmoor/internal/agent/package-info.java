/** The agent: the only process that communicates with its backend server. */
package org.aspenmoor.internal.agent;
