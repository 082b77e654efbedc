/** JSON with comments, read with the place of every field. */
package org.aspenmoor.internal.json;
