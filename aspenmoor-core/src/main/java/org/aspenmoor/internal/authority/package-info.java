/** Who may decide on roles and give orders: leases, fencing numbers, role plans and engine records. */
package org.aspenmoor.internal.authority;
