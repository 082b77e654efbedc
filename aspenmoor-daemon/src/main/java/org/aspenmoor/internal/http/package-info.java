/** HTTP interface for callers (completions protocol and pass-through calls) and the HTTP routes of every process. */
package org.aspenmoor.internal.http;
