/** Command line tool for operators. */
package org.aspenmoor.internal.cli;
