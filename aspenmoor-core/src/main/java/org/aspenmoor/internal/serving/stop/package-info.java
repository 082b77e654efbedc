/** Which requests a process that is stopping still sends to servers. */
package org.aspenmoor.internal.serving.stop;
