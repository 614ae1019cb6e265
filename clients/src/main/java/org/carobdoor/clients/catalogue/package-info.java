/** The text format of catalogue entries and their storage in the key-value service. */
@NullMarked
package org.carobdoor.clients.catalogue;

import org.jspecify.annotations.NullMarked;
