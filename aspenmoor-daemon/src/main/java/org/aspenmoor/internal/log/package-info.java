/** Configuration and formats of the log. */
package org.aspenmoor.internal.log;
