/** The planner: holds the role plans of services with engines in this data centre and keeps them up to date. */
package org.aspenmoor.internal.planner;
