/** The planner duty: holds the role plans of services with engines in this data centre and keeps them current. */
package org.aspenmoor.internal.planner;
