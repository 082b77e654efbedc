/** Which backend servers may be given new work: host list, agents' own word and connections joined into one view. */
package org.aspenmoor.internal.membership;
