/** How the messages of the document exchange travel as frames. */
package org.aspenmoor.internal.daemon.dissemination;
