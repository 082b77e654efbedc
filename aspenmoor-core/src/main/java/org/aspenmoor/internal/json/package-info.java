/** Reading of JSON with comments, with the location of every field. */
package org.aspenmoor.internal.json;
