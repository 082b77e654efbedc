/** The agent: the one process that talks to its backend server. */
package org.aspenmoor.internal.agent;
