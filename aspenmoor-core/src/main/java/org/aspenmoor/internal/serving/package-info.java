/**
 * Decisions about requests that an entry hands to backend servers itself: which route, which server, whether an attempt
 * may be repeated, and when a refusal is the better answer. Nothing here does input or output; time and randomness are
 * passed in.
 */
package org.aspenmoor.internal.serving;
