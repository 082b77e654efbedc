/** Settings of the daemon: JSON with comments, validated completely at the start. */
package org.aspenmoor.internal.settings;
