/** Access to the platform: its object store and its host list. */
package org.aspenmoor.internal.platform;
