/** The subcommands of {@code aspenmoor-standins}. */
package org.aspenmoor.internal.standins.command;
