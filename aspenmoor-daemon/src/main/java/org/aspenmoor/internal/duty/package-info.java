/** Worker threads, each with a bounded ring buffer of messages. */
package org.aspenmoor.internal.duty;
