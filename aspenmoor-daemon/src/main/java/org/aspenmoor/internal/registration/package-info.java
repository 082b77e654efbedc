/** How agents make themselves known in the store. */
package org.aspenmoor.internal.registration;
