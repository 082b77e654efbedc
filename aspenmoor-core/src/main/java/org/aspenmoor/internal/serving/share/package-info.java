/** Shares of a service's capacity among the organisations whose requests compete for it. */
package org.aspenmoor.internal.serving.share;
