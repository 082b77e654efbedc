/** How logs are written. */
package org.aspenmoor.internal.log;
