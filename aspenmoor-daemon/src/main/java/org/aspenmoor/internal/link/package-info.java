/** Connections between the processes of the system. */
package org.aspenmoor.internal.link;
