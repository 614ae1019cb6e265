/** Catalogue entries and their validation. */
@NullMarked
package org.carobdoor.internal.catalogue;

import org.jspecify.annotations.NullMarked;
