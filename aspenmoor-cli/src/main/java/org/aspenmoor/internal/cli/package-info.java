/** The operator's command line. */
package org.aspenmoor.internal.cli;
