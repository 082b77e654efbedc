/** How fast servers are at this moment, as they state it, and compared with each other, as the entries learn it together. */
package org.aspenmoor.internal.serving.speed;
