/** Settings of the daemon: JSON with comments, checked as a whole at the start. */
package org.aspenmoor.internal.settings;
