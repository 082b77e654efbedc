/** What connections to servers and to the store have in common. */
package org.aspenmoor.internal.http;
